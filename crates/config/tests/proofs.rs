//! Which responses a file may take for a proof that an attempt was not executed.

use badgerramp_config::{parse, parse_stored, Config, Diagnostics};
use badgerramp_route::ResponseRules;
use std::path::Path;

/// Responses that an endpoint may also send after it has executed a call: none of them is a proof.
const NO_PROOFS: [&str; 27] = [
    // A status by itself, which any software on the way may send.
    "{ status = 503 }",
    "{ status = 425 }",
    // Statuses of failures during a call, whatever comes with them.
    "{ status = 500, header = \"Content-Type\" }",
    "{ status = 500, header = \"X-Not-Processed\" }",
    "{ status = 500, header = \"X-Not-Processed\", value = \"1\" }",
    "{ status = 502, header = \"X-Not-Processed\", value = \"1\" }",
    "{ status = 507, header = \"X-Untouched\" }",
    "{ status = 520, header = \"X-Untouched\" }",
    "{ status = 599, header = \"X-Untouched\", value = \"1\" }",
    // Headers that any response may have.
    "{ status = 503, header = \"Content-Type\" }",
    "{ status = 503, header = \"content-type\", value = \"text/plain\" }",
    "{ status = 503, header = \"Content-Length\", value = \"0\" }",
    "{ status = 504, header = \"Date\" }",
    "{ status = 503, header = \"Server\", value = \"access\" }",
    "{ status = 503, header = \"Retry-After\" }",
    "{ status = 429, header = \"Retry-After\", value = \"1\" }",
    "{ status = 503, header = \"Connection\", value = \"close\" }",
    "{ status = 504, header = \"Via\" }",
    "{ status = 503, header = \"X-Request-ID\" }",
    "{ status = 503, header = \"X-Server-Load\" }",
    "{ status = 503, header = \"Idempotency-Key\" }",
    "{ status = 503, header = \"X-Forwarded-For\" }",
    "{ status = 503, header = \"X-Cache\", value = \"MISS\" }",
    "{ status = 429, header = \"X-RateLimit-Remaining\", value = \"0\" }",
    "{ status = 503, header = \"ETag\" }",
    "{ status = 503, header = \"Access-Control-Allow-Origin\", value = \"*\" }",
    // The opposite of what the header says with its only value.
    "{ status = 503, header = \"X-Not-Processed\", value = \"0\" }",
];

/// Responses by which an endpoint says that it has rejected a call before executing it.
const PROOFS: [&str; 10] = [
    "{ status = 503, header = \"X-Not-Processed\", value = \"1\" }",
    "{ status = 504, header = \"x-not-processed\", value = \"1\" }",
    "{ status = 503, header = \"X-Not-Processed\" }",
    "{ status = 429, header = \"X-Not-Processed\", value = \"1\" }",
    "{ status = 425, header = \"X-Untouched\" }",
    "{ status = 429, header = \"X-Shed\", value = \"queue full\" }",
    "{ status = 421, header = \"X-Wrong-Branch\" }",
    "{ status = 503, header = \"Grpc-Rejected\", value = \"yes\" }",
    "{ status = 503, header = \"X-Request-Rejected\", value = \"queue\" }",
    "{ status = 503, header = \"X-Envoy-Overloaded\", value = \"true\" }",
];

/// The tables in which a file may set proofs for its class `charge`.
const TABLES: [&str; 3] = ["[defaults]", "[class.charge]", "path = \"/charges\""];

const EFFECTS: [&str; 3] = [
    "effect = \"unsafe\"",
    "effect = \"keyed\"\ngroup = \"group\"\nwindow = \"1200ms\"",
    "effect = \"keyed\"\ngroup = \"all\"\nwindow = \"3s\"",
];

/// The basic file with these proofs in this table, and this effect of the class `charge`.
fn text_with(table: &str, proofs: &str, effect: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/good/base.toml");
    let text = std::fs::read_to_string(path).expect("a file");
    let text = text.replace("effect = \"unsafe\"", effect).replacen(
        table,
        &format!("{table}\nnever_ran = [{proofs}]"),
        1,
    );
    assert!(text.contains(proofs) && text.contains(effect));
    text
}

fn parse_with(table: &str, proofs: &str, effect: &str) -> Result<Config, Diagnostics> {
    parse("base.toml", &text_with(table, proofs, effect))
}

/// Any status with any header was taken for a proof, so that calls that had been executed were sent again.
#[test]
fn a_response_that_proves_nothing_is_refused_as_proof_for_unsafe_and_keyed_classes() {
    for proof in NO_PROOFS {
        for (table, effect) in TABLES.iter().flat_map(|t| EFFECTS.map(|e| (t, e))) {
            let diagnostics =
                parse_with(table, proof, effect).expect_err(&format!("{table} {proof} {effect}"));
            let found = diagnostics.iter().find(|d| d.key.ends_with(".never_ran"));
            let found = found.unwrap_or_else(|| panic!("{table} {proof}: {diagnostics}"));
            assert!(
                !found.reason.is_empty() && !found.found.is_empty() && !found.allowed.is_empty()
            );
        }
    }
}

/// A proof that is none is found beside others that are good.
#[test]
fn one_bad_proof_among_good_ones_is_refused() {
    let proofs = format!("{}, {}, {}", PROOFS[0], NO_PROOFS[2], PROOFS[1]);
    for (table, effect) in TABLES.iter().flat_map(|t| EFFECTS.map(|e| (t, e))) {
        let diagnostics = parse_with(table, &proofs, effect).expect_err("a bad proof");
        assert!(
            diagnostics.to_string().contains("status 500"),
            "{diagnostics}"
        );
    }
}

#[test]
fn a_response_that_only_a_rejecting_endpoint_sends_is_accepted_as_proof() {
    for proof in PROOFS {
        for (table, effect) in TABLES.iter().flat_map(|t| EFFECTS.map(|e| (t, e))) {
            let config =
                parse_with(table, proof, effect).unwrap_or_else(|d| panic!("{table} {proof}: {d}"));
            let charges = &config.routes.routes()[1];
            assert_eq!(charges.response_rules.never_ran.len(), 1, "{table} {proof}");
        }
    }
}

/// A policy that an earlier release had let through could not be read any more.
#[test]
fn a_stored_file_is_read_without_the_proofs_that_prove_nothing() {
    for proof in NO_PROOFS {
        for (table, effect) in TABLES.iter().flat_map(|t| EFFECTS.map(|e| (t, e))) {
            let proofs = format!("{}, {proof}", PROOFS[0]);
            let config = parse_stored("base.toml", &text_with(table, &proofs, effect))
                .unwrap_or_else(|d| panic!("{table} {proof}: {d}"));
            let charges = &config.routes.routes()[1];
            assert_eq!(charges.response_rules.never_ran.len(), 1, "{table} {proof}");
            assert!(config
                .warnings
                .iter()
                .any(|w| w.contains("never_ran: left out")));
        }
    }
    let text = text_with(
        TABLES[1],
        PROOFS[0],
        "effect = \"unsafe\"\nsecond_copy = \"auto\"",
    );
    assert!(
        parse_stored("base.toml", &text).is_err(),
        "other mistakes are refused"
    );
}

/// A safe call may be executed twice, so that its proofs need not hold.
#[test]
fn a_safe_class_may_take_any_response_for_a_proof() {
    for proof in NO_PROOFS {
        for table in ["[class.charge]", "path = \"/charges\""] {
            parse_with(table, proof, "effect = \"safe\"")
                .unwrap_or_else(|d| panic!("{proof}: {d}"));
        }
    }
}

/// Files that set no proofs get these.
#[test]
fn the_standard_proofs_are_accepted_for_all_classes() {
    assert!(ResponseRules::standard()
        .never_ran
        .iter()
        .all(|proof| proof.weakness().is_none()));
}
