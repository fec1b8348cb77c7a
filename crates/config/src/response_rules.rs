//! Response rules, which `[defaults]`, a class and a route may set: the statuses that are passed on to clients (`served`),
//! and the responses that prove that an attempt was not executed (`never_ran`).

use crate::timing::{add_with_context, header_name, TimingContext, TimingDraft};
use crate::values;
use badgerramp_decisions::Idempotency;
use badgerramp_route::{NotExecutedProof, ProofWeakness, ResponseRules, StatusSet};
use badgerramp_toml_diagnostics::{display_value, DeValue, DiagnosticSink, Located, Section};
use http::HeaderValue;

const STATUS_FORMS: &str = "statuses like \"200\", \"2xx\" or \"200-204\", from 200 to 599";

impl TimingDraft {
    /// The rules for responses to calls of this idempotency. Proofs that prove nothing are left out if the calls may not be
    /// executed twice.
    pub(crate) fn response_rules(&self, idempotency: Option<Idempotency>) -> ResponseRules {
        let mut response_rules = ResponseRules::standard();
        if let Some(served) = &self.served {
            response_rules.served = served.value;
        }
        if let Some(proofs) = &self.never_ran {
            response_rules.never_ran.clone_from(&proofs.value);
        }
        if needs_proofs(idempotency) {
            let proves = |proof: &NotExecutedProof| proof.weakness().is_none();
            response_rules.never_ran.retain(proves);
        }
        response_rules
    }

    /// Refuses a proof whose status counts as served.
    pub(crate) fn check_served(&self, sink: &mut DiagnosticSink, context: &TimingContext<'_>) {
        if let (Some(served), Some(proofs)) = (&self.served, &self.never_ran) {
            if let Some(proof) = proofs
                .value
                .iter()
                .find(|p| served.value.contains(p.status))
            {
                let found = format!("status {}", proof.status);
                let reason =
                    "a status that counts as served can't prove that the attempt never ran";
                let diagnostic = add_with_context(
                    sink,
                    context,
                    proofs,
                    reason,
                    found,
                    "statuses that are not in `served`",
                );
                diagnostic.add_related(served.span.clone(), "served here");
            }
        }
    }

    /// Finds responses that an endpoint may also send after it has executed a call, among the proofs that it has not. They
    /// don't count ([`TimingDraft::response_rules`]).
    pub(crate) fn check_proofs(&self, sink: &mut DiagnosticSink, context: &TimingContext<'_>) {
        let Some(proofs) = &self.never_ran else {
            return;
        };
        if !needs_proofs(context.idempotency) {
            return;
        }
        for proof in &proofs.value {
            let Some(weakness) = proof.weakness() else {
                continue;
            };
            let (reason, found) = (weakness.to_string(), proof.to_string());
            add_with_context(
                sink,
                context,
                proofs,
                &reason,
                found,
                allowed_proof(weakness),
            );
        }
    }
}

/// Whether a call may be sent again only after a proof that it was not executed, be it anywhere or at some endpoints.
fn needs_proofs(idempotency: Option<Idempotency>) -> bool {
    idempotency.is_some_and(|kind| kind != Idempotency::Idempotent)
}

/// What is allowed in place of a proof with this weakness.
fn allowed_proof(weakness: ProofWeakness) -> &'static str {
    match weakness {
        ProofWeakness::StatusAlone => "a header that only the endpoint sets, as in { status = 503, header = \"X-Not-Processed\", value = \"1\" }",
        ProofWeakness::FailureStatus => "a status from 400 to 499, 503 or 504 for calls that may not run twice",
        ProofWeakness::CommonHeader => "a header that an endpoint sets only if it has rejected the call, as in { status = 503, header = \"X-Not-Processed\", value = \"1\" }",
        ProofWeakness::OtherValue => "value = \"1\"",
    }
}

pub(crate) fn read_served(
    sink: &mut DiagnosticSink,
    section: &Section<'_>,
) -> Option<Located<StatusSet>> {
    let list = section.list(sink, "served", "statuses")?;
    let mut set = StatusSet::default();
    for (key, value) in &list {
        let text = match value.get_ref() {
            DeValue::String(text) => text.to_string(),
            DeValue::Integer(number) => number.to_string(),
            _ => String::new(),
        };
        if values::parse_statuses(&text, &mut set).is_none() {
            let found = display_value(value.get_ref());
            sink.add(
                key,
                &value.span(),
                "this is not a status or a range of statuses",
                found,
                STATUS_FORMS,
            );
        }
    }
    let span = section.get("served")?.span();
    if list.is_empty() {
        sink.add(
            &section.key_path("served"),
            &span,
            "no response would ever count as served",
            "an empty list",
            STATUS_FORMS,
        );
    }
    // Clients take 429 and 503 as permission to retry, but a served call has run.
    for status in [429, 503] {
        if set.contains(status) {
            let found = format!("status {status}");
            let reason =
                "clients take this status for a rejection and would retry a call that has run";
            sink.add(
                &section.key_path("served"),
                &span,
                reason,
                found,
                "statuses other than 429 and 503",
            );
        }
    }
    Some(Located {
        value: set,
        span,
        key: section.key_path("served"),
    })
}

pub(crate) fn read_never_ran(
    sink: &mut DiagnosticSink,
    section: &Section<'_>,
) -> Option<Located<Vec<NotExecutedProof>>> {
    const PROOF_FORM: &str =
        "tables like { status = 503, header = \"X-Not-Processed\", value = \"1\" }";
    let list = section.list(sink, "never_ran", PROOF_FORM)?;
    let mut proofs = Vec::new();
    for (key, value) in &list {
        let DeValue::Table(table) = value.get_ref() else {
            let found = display_value(value.get_ref());
            sink.add(key, &value.span(), "this is not a proof", found, PROOF_FORM);
            continue;
        };
        let proof = Section::new(
            sink,
            table,
            key,
            value.span(),
            &["status", "header", "value"],
        );
        proof.require(sink, "status", "a status from 400 to 599");
        let status = proof.integer(sink, "status", 400..=599);
        let name = header_name(sink, &proof, "header");
        let text = proof.read(sink, "value", "this is not a header value", "a text", |v| {
            v.as_str().and_then(|t| HeaderValue::from_str(t).ok())
        });
        if proof.has("value") && !proof.has("header") {
            sink.add(
                &proof.key_path("value"),
                &proof.span,
                "a value without a header",
                "no `header`",
                PROOF_FORM,
            );
        }
        if let Some(status) = status {
            let header = name.map(|n| (n.value, text.map(|t| t.value)));
            proofs.push(NotExecutedProof {
                status: status.value as u16,
                header,
            });
        }
    }
    let span = section.get("never_ran")?.span();
    Some(Located {
        value: proofs,
        span,
        key: section.key_path("never_ran"),
    })
}
