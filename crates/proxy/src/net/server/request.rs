//! One request of a client, from its head to its one final response.

use super::guards::{DisconnectGuard, InFlightGuard};
use super::response::{bad_request, plain_response};
use super::Server;
use crate::net::client_connection::{ClientConnection, REQUEST_TIMEOUT};
use crate::net::driver::{Answer, Intake};
use crate::net::rules::Admitted;
use crate::net::upstream::{self, Client, Request};
use badgerramp_decisions::Micros;
use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Method, Response, StatusCode};
use std::rc::Rc;

impl Server {
    pub(super) async fn handle_request(
        &self,
        request: hyper::Request<Incoming>,
        client: &Rc<ClientConnection>,
        since: Micros,
    ) -> Response<Full<Bytes>> {
        let clock = self.driver.clock();
        let (mut parts, body) = request.into_parts();
        if parts.uri.path() == "/_health" && matches!(parts.method, Method::GET | Method::HEAD) {
            return self.health();
        }
        let (rules, stamp) = match &self.gate {
            None => (Rc::clone(&self.rules.borrow()), None),
            Some(gate) => match gate.admit() {
                Ok((rules, stamp)) => {
                    // Without a body nothing can change before the call begins.
                    let plain = (!body.is_end_stream()).then(|| parts.clone());
                    (rules, Some((gate, stamp, plain)))
                }
                Err(_) => return self.shed(0),
            },
        };
        let Admitted {
            mut class,
            mut tenant,
            id,
            mut time,
            length,
            max_body_len,
            mut terms,
            mut options,
        } = match rules.admit(&mut parts, client.peer()) {
            Ok(admitted) => admitted,
            Err(rejection) => return self.rejection(rejection),
        };
        let _in_flight = match id.map(|id| InFlightGuard::enter(&self.in_flight_ids, id)) {
            Some(None) => {
                return bad_request(
                    StatusCode::CONFLICT,
                    "a request with this X-Request-ID is open",
                )
            }
            entered => entered,
        };
        let Some(_reservation) = self.memory_budget.reserve(length.unwrap_or(max_body_len)) else {
            return self.shed(0);
        };
        let late = clock.instant(since.saturating_add(REQUEST_TIMEOUT));
        let body = if body.is_end_stream() {
            Ok(Ok(Bytes::new()))
        } else {
            let body = Box::pin(Limited::new(body, max_body_len).collect());
            tokio::time::timeout_at(late, body)
                .await
                .map(|read| read.map(Collected::to_bytes))
        };
        let body = match body {
            Ok(Ok(body)) => body,
            Ok(Err(fault)) if fault.is::<LengthLimitError>() => {
                return bad_request(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            Ok(Err(_)) => return bad_request(StatusCode::BAD_REQUEST, "broken body"),
            Err(_) => {
                return bad_request(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")
            }
        };
        if let Some(length) = length.filter(|_| !self.plain_http) {
            // Plain HTTP lets a client send its next request ahead.
            client.body_complete(length);
            if client.has_excess_data() {
                return bad_request(StatusCode::BAD_REQUEST, "more bytes than the request has");
            }
        }
        let resent = parts
            .headers
            .get("x-retried")
            .is_some_and(|v| v.as_bytes() == b"1");
        // Read before the lease is looked at: a process that is stopped in between finds its call's time over.
        let mut now = clock.now();
        if let Some((gate, mut stamp, plain)) = stamp {
            while !gate.confirm(stamp, &parts.headers) {
                // The body took its time, and something else holds by now.
                let (Ok((rules, newer)), Some(plain)) = (gate.admit(), &plain) else {
                    return self.shed(0);
                };
                parts = plain.clone();
                let admitted = match rules.admit(&mut parts, client.peer()) {
                    Ok(admitted) if admitted.max_body_len < body.len() => {
                        return bad_request(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
                    }
                    Ok(admitted) => admitted,
                    Err(rejection) => return self.rejection(rejection),
                };
                (class, tenant, time) = (admitted.class, admitted.tenant, admitted.time);
                (terms, options, stamp) = (admitted.terms, admitted.options, newer);
                now = clock.now();
            }
        }
        let client: Rc<dyn Client> = Rc::<ClientConnection>::clone(client);
        let intake = Intake {
            client,
            class,
            tenant,
            deadline: now + time,
            resent,
            terms,
        };
        let (method, uri, mut headers) = (parts.method, parts.uri, parts.headers);
        if !self.plain_http {
            // Plain HTTP has had it done where its routes were looked up.
            upstream::strip_hop_by_hop(&mut headers);
        }
        let request = Request {
            method,
            uri,
            headers,
            body,
            options,
        };
        let Some((call, answer)) = self.driver.start_call(intake, request) else {
            return self.shed(0);
        };
        let _disconnect_guard = DisconnectGuard {
            driver: &self.driver,
            call,
        };
        match answer.await {
            Ok(Answer::Served(response)) => self.forward(response),
            Ok(Answer::Refused { retry_after }) => self.shed(retry_after),
            // To a client these two mean that trying again is harmless, which no failure promises.
            Ok(Answer::Failed(Some(response)))
                if ![429, 503].contains(&response.status.as_u16()) =>
            {
                self.forward(response)
            }
            Ok(Answer::Failed(_)) => plain_response(StatusCode::BAD_GATEWAY, "failed"),
            Ok(Answer::Overdue) | Err(_) => {
                plain_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
        }
    }
}
