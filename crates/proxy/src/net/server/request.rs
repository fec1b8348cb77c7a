//! One request of a client, from its head to its response.

use super::guards::DisconnectGuard;
use super::request_error::RequestError;
use super::response::ResponseBody;
use super::Server;
use crate::log::CLIENTS;
use crate::net::admission_gate::{AdmissionGate, ProvisionalAdmission};
use crate::net::body::{self, CollectError};
use crate::net::client_connection::{ClientConnection, REQUEST_TIMEOUT};
use crate::net::driver::{Answer, NewCall};
use crate::net::memory_budget::{Purpose, CALL_COST, FIELD_COST, HEAD_COPIES};
use crate::net::rules::{Admitted, Rules};
use crate::net::upstream::{self, Client, Request};
use badgerramp_decisions::Micros;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{Method, Response};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

/// The memory of a request up to which it does not count as a long one, in bytes: enough for some twenty fields and a body
/// of a few KiB.
const SHORT_REQUEST_COST: usize = CALL_COST + 16 * 1024;
/// How long a request waits for memory before it is rejected.
const MEMORY_PATIENCE: Duration = Duration::from_millis(100);
/// The path of the health check.
const HEALTH_PATH: &str = "/_health";

/// An admission under a policy lease that is confirmed when the call starts.
struct PendingAdmission<'a> {
    gate: &'a AdmissionGate,
    provisional: ProvisionalAdmission,
    /// The head as received, in case the request must be admitted again. `None` for a request without a body, whose
    /// call starts before anything can change.
    original: Option<Parts>,
}

impl Server {
    /// Handles one request. `received_at` is when its first byte was received; for the first request of a connection,
    /// when the client connected.
    pub(super) async fn handle_request(
        &self,
        request: hyper::Request<Incoming>,
        client: &Rc<ClientConnection>,
        received_at: Micros,
    ) -> Response<ResponseBody> {
        let (parts, body) = request.into_parts();
        if parts.uri.path() == HEALTH_PATH && matches!(parts.method, Method::GET | Method::HEAD) {
            return self.health();
        }
        match self.forward_request(parts, body, client, received_at).await {
            Ok(response) => response,
            Err(error) => self.error_response(error),
        }
    }

    /// Admits a request, reads its body, starts its call and waits for the final answer.
    ///
    /// # Errors
    /// If no call is started.
    async fn forward_request(
        &self,
        mut parts: Parts,
        body: Incoming,
        client: &Rc<ClientConnection>,
        received_at: Micros,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let (rules, pending) = self.current_rules(&parts, &body)?;
        let mut admitted = rules.admit(&mut parts, client.peer())?;
        let clock = self.driver.clock();
        let enter = |id| {
            let entered = self.request_ids.enter(id, clock.now());
            entered.ok_or(RequestError::DuplicateId)
        };
        let id = admitted.id.take().map(enter).transpose()?;
        let head_cost = request_head_cost(&parts, client);
        let waiting_since = clock.now();
        self.reserve_request(head_cost, &admitted, client).await?;
        // The client waits as well.
        let waited = clock.now().saturating_sub(waiting_since);
        let deadline = clock.instant(received_at.saturating_add(REQUEST_TIMEOUT));
        let body = self.receive_body(body, &admitted, deadline, client).await?;
        self.check_excess_data(&admitted, client)?;
        let is_retry = parts
            .headers
            .get("x-retried")
            .is_some_and(|v| v.as_bytes() == b"1");
        let started_at = self.confirm(pending, &mut parts, &mut admitted, body.len(), client)?;
        let deadline = started_at + admitted.timeout.saturating_sub(waited);
        client.set_deadline(deadline);
        let complete_at = started_at.saturating_sub(waited);
        let shutdown = self.driver.shutdown();
        let answer_due = shutdown.and_then(|schedule| schedule.answer_due(complete_at));
        let call_client: Rc<dyn Client> = Rc::<ClientConnection>::clone(client);
        let new_call = NewCall {
            client: call_client,
            class: admitted.class,
            definition: admitted.definition,
            tenant: admitted.tenant,
            deadline,
            answer_due,
            is_retry,
            policy: admitted.policy,
        };
        if !self.plain_http {
            // For plain HTTP, the rules have done this.
            upstream::strip_hop_by_hop(&mut parts.headers);
        }
        let request = Request {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            options: admitted.options,
        };
        let (call, answer) = self
            .driver
            .start_call(new_call, request)
            .ok_or(RequestError::AtCapacity)?;
        let _disconnect_guard = DisconnectGuard {
            driver: &self.driver,
            call,
            id: id.as_ref(),
        };
        let answer = answer.await;
        let was_rejected = matches!(answer, Ok(Answer::Rejected { .. }));
        if !was_rejected && (answer.is_err() || client.has_left()) {
            id.iter().for_each(|id| id.abandon(clock.now()));
        }
        client.release_body_memory(head_cost);
        Ok(self.answer_response(answer))
    }

    /// Reserves the memory of a request, which its connection holds until the response has been written.
    async fn reserve_request(
        &self,
        head_cost: usize,
        admitted: &Admitted,
        client: &ClientConnection,
    ) -> Result<(), RequestError> {
        let cost = head_cost + admitted.body_len.unwrap_or(admitted.max_body_len);
        let purpose = if cost > SHORT_REQUEST_COST {
            Purpose::LongRequest
        } else {
            Purpose::ShortRequest
        };
        let memory = self
            .memory_budget
            .reserve_within(purpose, cost, MEMORY_PATIENCE)
            .await;
        let Some(memory) = memory else {
            debug!(target: CLIENTS, connection = client.id(), used = self.memory_budget.used(), "no memory for a request");
            return Err(RequestError::Shed);
        };
        client.hold_request_memory(memory);
        Ok(())
    }

    /// Receives the body of a request, unless the place of its connection is needed for another client.
    async fn receive_body(
        &self,
        body: Incoming,
        admitted: &Admitted,
        deadline: Instant,
        client: &ClientConnection,
    ) -> Result<Bytes, RequestError> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let _class_reservation = self.driver.reserve_class(admitted.class);
        client.start_body();
        let body = tokio::select! {
            biased;
            body = read_body(body, admitted, deadline) => body?,
            () = client.body_rejected() => return Err(RequestError::Shed),
        };
        // A request that was completed just before its rejection is served, and its response closes the connection.
        self.clients.cancel_eviction(client);
        client.request_received();
        Ok(body)
    }

    /// The rules for a request that arrives now, and the admission to confirm before its call starts.
    fn current_rules(
        &self,
        parts: &Parts,
        body: &Incoming,
    ) -> Result<(Rc<Rules>, Option<PendingAdmission<'_>>), RequestError> {
        let Some(gate) = &self.gate else {
            return Ok((Rc::clone(&self.rules.borrow()), None));
        };
        let (rules, provisional) = gate.admit().map_err(|_| RequestError::Shed)?;
        let pending = PendingAdmission {
            gate,
            provisional,
            original: (!body.is_end_stream()).then(|| parts.clone()),
        };
        Ok((rules, Some(pending)))
    }

    /// Fails if data was received after the request. Plain HTTP allows this, as clients may pipeline requests.
    fn check_excess_data(
        &self,
        admitted: &Admitted,
        client: &ClientConnection,
    ) -> Result<(), RequestError> {
        if let Some(length) = admitted.body_len.filter(|_| !self.plain_http) {
            client.body_complete(length);
            if client.has_excess_data() {
                return Err(RequestError::ExcessData);
            }
        }
        Ok(())
    }

    /// Confirms the admission of the request, or admits it again: another policy may have come into force while its
    /// body was being received. Returns the start time of the call.
    fn confirm(
        &self,
        pending: Option<PendingAdmission<'_>>,
        parts: &mut Parts,
        admitted: &mut Admitted,
        body_len: usize,
        client: &ClientConnection,
    ) -> Result<Micros, RequestError> {
        let clock = self.driver.clock();
        // Read before the lease is checked: if the process is stopped in between, the call's time has passed when it
        // continues.
        let mut now = clock.now();
        let Some(mut pending) = pending else {
            return Ok(now);
        };
        while !pending.gate.confirm(pending.provisional, &parts.headers) {
            let (Ok((rules, provisional)), Some(original)) =
                (pending.gate.admit(), &pending.original)
            else {
                return Err(RequestError::Shed);
            };
            *parts = original.clone();
            *admitted = rules.admit(parts, client.peer())?;
            if admitted.max_body_len < body_len {
                return Err(RequestError::BodyTooLarge);
            }
            pending.provisional = provisional;
            now = clock.now();
        }
        Ok(now)
    }
}

/// The memory of the head of a request, in its call and its attempts.
fn request_head_cost(parts: &Parts, client: &ClientConnection) -> usize {
    CALL_COST + parts.headers.len() * FIELD_COST + client.head_len() * HEAD_COPIES
}

/// Reads the body of a request, which must be complete before `deadline`.
async fn read_body(
    body: Incoming,
    admitted: &Admitted,
    deadline: Instant,
) -> Result<Bytes, RequestError> {
    let expected_len = admitted.body_len.unwrap_or_default();
    let body = Box::pin(body::collect(body, expected_len, admitted.max_body_len));
    match tokio::time::timeout_at(deadline, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(CollectError::TooLong)) => Err(RequestError::BodyTooLarge),
        Ok(Err(CollectError::Http(_))) => Err(RequestError::BodyBroken),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}
