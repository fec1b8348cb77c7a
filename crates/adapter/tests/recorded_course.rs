//! What the decisions answered over recorded days, step by step. The input was drawn by a model of hosts that are slow,
//! fail, hang, reset, join, restart and leave; the replies are those of the build that was there before the code was
//! renamed and split. Lines for the log are left out: their wording is free.

use std::io::{BufRead, BufReader, Write};
use std::process::{ChildStdin, Command, Stdio};

const DAYS: [Day; 4] = [
    Day {
        name: "three zones, keyed calls, quotas, hedged requests",
        input: include_bytes!("fixtures/zones.in.zst"),
        replies: include_bytes!("fixtures/zones.out.zst"),
        steps: 4_000,
    },
    Day {
        name: "load probes, pushed lists",
        input: include_bytes!("fixtures/probes.in.zst"),
        replies: include_bytes!("fixtures/probes.out.zst"),
        steps: 4_000,
    },
    Day {
        name: "more proxies than hosts, calls shed",
        input: include_bytes!("fixtures/crowd.in.zst"),
        replies: include_bytes!("fixtures/crowd.out.zst"),
        steps: 4_000,
    },
    Day {
        name: "a hundred and forty hosts",
        input: include_bytes!("fixtures/many.in.zst"),
        replies: include_bytes!("fixtures/many.out.zst"),
        steps: 4_000,
    },
];
const BYTES_MOST: usize = 16 << 20;

struct Day {
    name: &'static str,
    input: &'static [u8],
    replies: &'static [u8],
    steps: usize,
}

fn lines(packed: &[u8]) -> Vec<String> {
    let bytes = zstd::bulk::decompress(packed, BYTES_MOST).expect("a recording");
    let text = String::from_utf8(bytes).expect("text");
    text.lines().map(str::to_owned).collect()
}

/// A reply without its lines for the log.
fn commands(reply: &str) -> Vec<serde_json::Value> {
    let reply: serde_json::Value = serde_json::from_str(reply).expect("a reply");
    let all = reply["cmds"].as_array().expect("commands");
    all.iter()
        .filter(|command| command["verb"] != "TRACE")
        .cloned()
        .collect()
}

fn feed(input: &[String], mut to: ChildStdin) {
    for line in input {
        writeln!(to, "{line}").expect("the adapter reads");
    }
}

fn play(day: &Day) {
    let (input, expected) = (lines(day.input), lines(day.replies));
    assert_eq!(
        (input.len(), expected.len()),
        (day.steps, day.steps),
        "{}",
        day.name
    );
    let mut child = Command::new(env!("CARGO_BIN_EXE_badgerramp-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let to = child.stdin.take().expect("piped");
    let from = BufReader::new(child.stdout.take().expect("piped"));
    let feeder = std::thread::spawn(move || feed(&input, to));
    let replies: Vec<String> = from.lines().map(|line| line.expect("text")).collect();
    feeder.join().expect("all was read");
    assert!(child.wait().expect("it ends").success());
    assert_eq!(replies.len(), expected.len(), "{}", day.name);
    for (step, (reply, expected)) in replies.iter().zip(&expected).enumerate() {
        assert_eq!(
            commands(reply),
            commands(expected),
            "{}, step {}",
            day.name,
            step + 1
        );
    }
}

#[test]
fn the_decisions_answer_recorded_days_as_they_did() {
    DAYS.iter().for_each(play);
}
