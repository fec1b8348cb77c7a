//! The adapter as the bench meets it: lines in, lines out, plain messages on what is malformed.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const START: &str = r#"{"clock_us":5,"input":[{"verb":"CREATE","proxy":3,"seed":9,"facts":{"balancers":2,"unheard_of":1,
"classes":[{"name":"a","objective_us":500000,"deadline_us":900000,"worth":1.0,"idempotency":"free"}],"discovery":"ask",
"limits":{"cancel":true,"max_attempts":3},"invariants":{"cold_from":0.2,"cold_us":9000000,"tip_after_us":2000000}}}]}"#;
const LIST: &str = r#"{"clock_us":5,"input":[{"verb":"POOL","roster_id":0,"elements":[{"az":"z","weight":1,"cohort":0,"host":77,"state":1}]},{"verb":"MEMBERS","proxy":3,"scope":3,"version":1,"roster_id":0}]}"#;
const JOB: &str = r#"{"clock_us":9,"input":[{"verb":"JOB_IN","proxy":3,"call":"r-x","tier_class":"a","time_budget_us":900000}]}"#;

fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_badgerramp-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // A child that has already left closes the pipe; its exit code is what is judged.
        if writeln!(input, "{}", line.replace('\n', " ")).is_err() {
            break;
        }
    }
    drop(input);
    child.wait_with_output().expect("it ends")
}

#[test]
fn a_call_is_routed_and_answered() {
    let done = r#"{"clock_us":99,"input":[{"verb":"DONE","proxy":3,"call":"r-x","seq_no":0,"host":77,"result":"served","elapsed_us":90,"terminal":true,"stats":{"odd":1,"cpu":0.5}}]}"#;
    let late = r#"{"clock_us":99,"input":[{"verb":"CANCELLED_BY_CLIENT","proxy":3,"call":"r-x"}]}"#;
    let output = run(&[r#"{"clock_us":1,"input":[]}"#, START, LIST, JOB, done, late]);
    assert!(output.status.success(), "end of input is no fault");
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
fn malformed_lines_end_it_with_a_plain_message() {
    let faults = [
        ("not json", "line 1"),
        (r#"{"clock_us":1}"#, "input"),
        (
            r#"{"clock_us":1,"input":[{"verb":"ALARM"}]}"#,
            "ALARM without proxy",
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
            "facts",
        ),
        (
            r#"{"clock_us":1,"input":[{"verb":"CREATE","proxy":8,"seed":1}]}"#,
            "CREATE without facts",
        ),
    ];
    for (line, wanted) in faults {
        let output = run(&[line]);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{line}");
        assert!(
            message.contains(wanted) && message.contains("line 1"),
            "{line}: {message}"
        );
        assert!(!message.contains("panicked"), "{message}");
        assert!(output.stdout.is_empty());
    }
    let output = run(&[
        START,
        r#"{"clock_us":9,"input":[{"verb":"JOB_IN","proxy":3,"call":"r-x"}]}"#,
    ]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("line 2: JOB_IN without"));
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
fn the_message_names_line_verb_and_field_and_the_exit_code_is_one() {
    let unknown_list = r#"{"clock_us":6,"input":[{"verb":"MEMBERS","proxy":3,"scope":3,"version":1,"roster_id":9}]}"#;
    let no_list = r#"{"clock_us":6,"input":[{"verb":"MEMBERS","proxy":3,"scope":3,"version":1}]}"#;
    let no_result = r#"{"clock_us":6,"input":[{"verb":"PROBED","proxy":3,"host":77}]}"#;
    for (line, wanted) in [
        (unknown_list, "line 2: MEMBERS of unknown list 9"),
        (no_list, "line 2: MEMBERS without roster_id"),
        (no_result, "line 2: PROBED without result"),
        (
            r#"{"clock_us":6,"input":[{"verb":"DANCE","proxy":3}]}"#,
            "line 2: unknown verb DANCE",
        ),
    ] {
        let output = run(&[START, line]);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            message.contains(wanted) && message.lines().count() == 1,
            "{message}"
        );
        assert_eq!(output.status.code(), Some(1));
        assert_eq!(
            String::from_utf8_lossy(&output.stdout).lines().count(),
            1,
            "replies and nothing else"
        );
    }
}

#[test]
fn unknown_outcomes_may_have_run_and_unknown_classes_are_never_repeated() {
    let job = JOB.replace(r#""tier_class":"a""#, r#""tier_class":"never heard of""#);
    let done = r#"{"clock_us":20,"input":[{"verb":"DONE","proxy":3,"call":"r-x","seq_no":0,"host":77,"result":"melted","elapsed_us":9}]}"#;
    let replies = replies(&[START, LIST, &job, done]);
    assert!(replies[2].contains("ROUTE"), "{}", replies[2]);
    assert!(
        replies[3].contains("DROP_REQUEST") && !replies[3].contains("ROUTE"),
        "{}",
        replies[3]
    );
}

#[test]
fn late_unknown_and_doubled_ids_change_nothing() {
    let late = r#"{"clock_us":20,"input":[{"verb":"DONE","proxy":3,"call":"r-y","seq_no":4,"host":77,"result":"served","elapsed_us":9,"terminal":true},{"verb":"CANCELLED_BY_CLIENT","proxy":3,"call":"r-z"},{"verb":"DONE","proxy":3,"call":"r-x","seq_no":4,"host":77,"result":"server_error","elapsed_us":9}]}"#;
    let replies = replies(&[START, LIST, JOB, JOB, late]);
    assert!(replies[2].contains("ROUTE"));
    assert!(
        !replies[3].contains("ROUTE") && !replies[3].contains("BOUNCE"),
        "{}",
        replies[3]
    );
    assert!(!replies[4].contains("call"), "{}", replies[4]);
}

#[test]
fn a_restart_in_one_batch_empty_batches_and_overwritten_lists_work() {
    let start = START.replace('\n', " ");
    let create = start
        .trim_start_matches(r#"{"clock_us":5,"input":["#)
        .trim_end_matches("]}");
    let list = |host: u32| {
        format!(
            r#"{{"verb":"POOL","roster_id":0,"elements":[{{"host":{host},"state":1,"weight":-1,"odd":[]}}]}},{{"verb":"MEMBERS","proxy":3,"scope":3,"version":1,"roster_id":0}}"#
        )
    };
    let again = format!(
        r#"{{"clock_us":7,"input":[{{"verb":"DETACH","proxy":3}},{create},{},{}]}}"#,
        list(77),
        list(78)
    );
    let replies = replies(&[
        START,
        LIST,
        JOB,
        &again,
        r#"{"clock_us":8,"input":[]}"#,
        JOB,
    ]);
    assert_eq!(replies[4], r#"{"cmds":[]}"#);
    assert!(
        replies[5].contains(r#""host":78"#),
        "the last list under a number counts: {}",
        replies[5]
    );
}

#[test]
fn every_setting_reaches_the_module_by_what_it_decides() {
    // Many balancers and probes that tell: the settings of reports, charges and limits make it ask first.
    let start = START
        .replace(r#""balancers":2"#, r#""balancers":200,"locality":"z","weight_source":"nominal","charges":{"probe":0.005},"report":{"how":"on_probe","columns":["active"]}"#)
        .replace(r#""max_attempts":3"#, r#""max_attempts":3,"probes":true"#);
    let told = r#"{"clock_us":20,"input":[{"verb":"PROBED","proxy":3,"host":77,"result":"served","elapsed_us":9,"stats":{"active":2.0,"err_rps":0.1}}]}"#;
    let replies = replies(&[&start, LIST, JOB, told]);
    assert!(
        replies[2].contains(r#""verb":"TEST","proxy":3,"host":77"#),
        "{}",
        replies[2]
    );
    assert!(replies[3].contains("ROUTE"), "{}", replies[3]);
}
