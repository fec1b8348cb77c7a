//! The adapter's wire protocol as seen by the platform's simulator: replies to batches of events, and
//! error messages for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const START: &str = r#"{"clock_us":5,"input":[{"verb":"CREATE","proxy":3,"seed":9,"facts":{"balancers":2,"unheard_of":1,
"classes":[{"name":"a","objective_us":500000,"deadline_us":900000,"worth":1.0,"idempotency":"free"}],"discovery":"ask",
"limits":{"cancel":true,"max_attempts":3},"invariants":{"cold_from":0.2,"cold_us":9000000,"tip_after_us":2000000}}}]}"#;
const LIST: &str = r#"{"clock_us":5,"input":[{"verb":"POOL","roster_id":0,"elements":[{"az":"z","weight":1,"cohort":0,"host":77,"state":1}]},{"verb":"MEMBERS","proxy":3,"scope":3,"version":1,"roster_id":0}]}"#;
const REQUEST: &str = r#"{"clock_us":9,"input":[{"verb":"JOB_IN","proxy":3,"call":"r-x","tier_class":"a","time_budget_us":900000}]}"#;

fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_badgerramp-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // If the child has already exited, the pipe is closed; the test checks the exit code.
        if writeln!(input, "{}", line.replace('\n', " ")).is_err() {
            break;
        }
    }
    drop(input);
    child.wait_with_output().expect("it ends")
}

#[test]
fn a_call_is_routed_and_its_answer_needs_no_command() {
    let done = r#"{"clock_us":99,"input":[{"verb":"DONE","proxy":3,"call":"r-x","seq_no":0,"host":77,"result":"served","elapsed_us":90,"terminal":true,"stats":{"odd":1,"cpu":0.5}}]}"#;
    let late = r#"{"clock_us":99,"input":[{"verb":"CANCELLED_BY_CLIENT","proxy":3,"call":"r-x"}]}"#;
    let output = run(&[
        r#"{"clock_us":1,"input":[]}"#,
        START,
        LIST,
        REQUEST,
        done,
        late,
    ]);
    assert!(output.status.success(), "end of input must not be an error");
    let replies: Vec<String> = String::from_utf8_lossy(&output.stdout)
        .lines()
        .map(str::to_owned)
        .collect();
    assert_eq!(replies.len(), 6);
    assert_eq!(replies[0], r#"{"cmds":[]}"#);
    assert!(replies[1].contains(r#""verb":"LISTEN""#));
    assert!(
        replies[3].contains(r#""verb":"ROUTE","proxy":3,"call":"r-x","host":77"#),
        "{}",
        replies[3]
    );
    assert_eq!(replies[5], r#"{"cmds":[]}"#);
}

#[test]
fn malformed_lines_end_the_program_with_an_error_message() {
    let malformed_lines = [
        ("not json", "line 1"),
        (r#"{"clock_us":1}"#, "input"),
        (
            r#"{"clock_us":1,"input":[{"verb":"ALARM"}]}"#,
            "ALARM: missing field proxy",
        ),
        (
            r#"{"clock_us":1,"input":[{"verb":"ALARM","proxy":8,"tag":1}]}"#,
            "unknown proxy 8",
        ),
        (
            r#"{"clock_us":1,"input":[{"verb":"DANCE","proxy":8}]}"#,
            "line 1",
        ),
        (
            r#"{"clock_us":1,"input":[{"verb":"CREATE","proxy":8,"seed":1,"facts":{}}]}"#,
            "invalid facts",
        ),
        (
            r#"{"clock_us":1,"input":[{"verb":"CREATE","proxy":8,"seed":1}]}"#,
            "CREATE: missing field facts",
        ),
    ];
    for (line, expected) in malformed_lines {
        let output = run(&[line]);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{line}");
        assert!(
            message.contains(expected) && message.contains("line 1"),
            "{line}: {message}"
        );
        assert!(!message.contains("panicked"), "{message}");
        assert!(output.stdout.is_empty());
    }
    let output = run(&[
        START,
        r#"{"clock_us":9,"input":[{"verb":"JOB_IN","proxy":3,"call":"r-x"}]}"#,
    ]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("line 2: JOB_IN: missing field"));
}

fn replies(lines: &[&str]) -> Vec<String> {
    let output = run(lines);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8_lossy(&output.stdout)
        .lines()
        .map(str::to_owned)
        .collect()
}

#[test]
fn errors_name_the_line_verb_and_field_and_exit_with_code_1() {
    let unknown_list = r#"{"clock_us":6,"input":[{"verb":"MEMBERS","proxy":3,"scope":3,"version":1,"roster_id":9}]}"#;
    let no_list = r#"{"clock_us":6,"input":[{"verb":"MEMBERS","proxy":3,"scope":3,"version":1}]}"#;
    let no_result = r#"{"clock_us":6,"input":[{"verb":"PROBED","proxy":3,"host":77}]}"#;
    for (line, expected) in [
        (unknown_list, "line 2: MEMBERS: unknown list 9"),
        (no_list, "line 2: MEMBERS: missing field roster_id"),
        (no_result, "line 2: PROBED: missing field result"),
        (
            r#"{"clock_us":6,"input":[{"verb":"DANCE","proxy":3}]}"#,
            "line 2: unknown verb DANCE",
        ),
    ] {
        let output = run(&[START, line]);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            message.contains(expected) && message.lines().count() == 1,
            "{message}"
        );
        assert_eq!(output.status.code(), Some(1));
        assert_eq!(
            String::from_utf8_lossy(&output.stdout).lines().count(),
            1,
            "standard output must hold replies only"
        );
    }
}

#[test]
fn calls_of_unknown_classes_are_not_retried_after_unknown_outcomes() {
    let request = REQUEST.replace(r#""tier_class":"a""#, r#""tier_class":"never heard of""#);
    let done = r#"{"clock_us":20,"input":[{"verb":"DONE","proxy":3,"call":"r-x","seq_no":0,"host":77,"result":"melted","elapsed_us":9}]}"#;
    let replies = replies(&[START, LIST, &request, done]);
    assert!(replies[2].contains("ROUTE"), "{}", replies[2]);
    assert!(
        replies[3].contains("DROP_REQUEST") && !replies[3].contains("ROUTE"),
        "{}",
        replies[3]
    );
}

#[test]
fn events_with_late_unknown_and_duplicate_ids_are_ignored() {
    let late = r#"{"clock_us":20,"input":[{"verb":"DONE","proxy":3,"call":"r-y","seq_no":4,"host":77,"result":"served","elapsed_us":9,"terminal":true},{"verb":"CANCELLED_BY_CLIENT","proxy":3,"call":"r-z"},{"verb":"DONE","proxy":3,"call":"r-x","seq_no":4,"host":77,"result":"server_error","elapsed_us":9}]}"#;
    let replies = replies(&[START, LIST, REQUEST, REQUEST, late]);
    assert!(replies[2].contains("ROUTE"));
    assert!(
        !replies[3].contains("ROUTE") && !replies[3].contains("BOUNCE"),
        "{}",
        replies[3]
    );
    assert!(!replies[4].contains("call"), "{}", replies[4]);
}

#[test]
fn restart_in_one_batch_empty_batches_and_overwritten_lists_are_handled() {
    let start = START.replace('\n', " ");
    let create = start
        .trim_start_matches(r#"{"clock_us":5,"input":["#)
        .trim_end_matches("]}");
    let list = |host: u32| {
        format!(
            r#"{{"verb":"POOL","roster_id":0,"elements":[{{"host":{host},"state":1,"weight":-1,"odd":[]}}]}},{{"verb":"MEMBERS","proxy":3,"scope":3,"version":1,"roster_id":0}}"#
        )
    };
    let restart = format!(
        r#"{{"clock_us":7,"input":[{{"verb":"DETACH","proxy":3}},{create},{},{}]}}"#,
        list(77),
        list(78)
    );
    let replies = replies(&[
        START,
        LIST,
        REQUEST,
        &restart,
        r#"{"clock_us":8,"input":[]}"#,
        REQUEST,
    ]);
    assert_eq!(replies[4], r#"{"cmds":[]}"#);
    assert!(
        replies[5].contains(r#""host":78"#),
        "the latest list with a number applies: {}",
        replies[5]
    );
}

#[test]
fn settings_for_load_probes_reach_the_balancer() {
    // With many balancers, the settings for load reports, costs and limits make it probe first.
    let start = START
        .replace(r#""balancers":2"#, r#""balancers":200,"locality":"z","weight_source":"nominal","charges":{"probe":0.005},"report":{"how":"on_probe","columns":["active"]}"#)
        .replace(r#""max_attempts":3"#, r#""max_attempts":3,"probes":true"#);
    let probed = r#"{"clock_us":20,"input":[{"verb":"PROBED","proxy":3,"host":77,"result":"served","elapsed_us":9,"stats":{"active":2.0,"err_rps":0.1}}]}"#;
    let replies = replies(&[&start, LIST, REQUEST, probed]);
    assert!(
        replies[2].contains(r#""verb":"TEST","proxy":3,"host":77"#),
        "{}",
        replies[2]
    );
    assert!(replies[3].contains("ROUTE"), "{}", replies[3]);
}
