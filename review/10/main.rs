//! A description with a file that lets a charge be sent again: whether the configuration tool refuses it, and if not, how
//! often charges run.
#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

const HOSTS: usize = 11;
/// Two of eleven hosts (18%) fail nine in ten requests quickly.
const BAD_HOSTS: usize = 2;
const CLIENTS: usize = 8;
const TROUBLE_AT_MS: u64 = 4_000;
const END_MS: u64 = 16_000;

fn tool(arguments: &str) -> (bool, String) {
    let command = format!("exec target/release/badgerramp-config {arguments}");
    let output = Command::new("/bin/sh")
        .arg("-c")
        .arg(&command)
        .current_dir(root())
        .output();
    let output = output.unwrap_or_else(|e| cannot_run(&format!("{command}: {e}")));
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    rec(&format!(
        "{command}: {}: {}",
        output.status,
        text.replace('\n', " | ")
    ));
    (output.status.success(), text)
}

fn main() {
    let (_, temporary) = arguments();
    let trouble = !without_trouble();
    let arrivals = Arc::new(Arrivals::default());
    let failing = Arc::new(AtomicBool::new(false));
    let fails = Arc::clone(&failing);
    let behaviour: Behaviour = Arc::new(move |arrival, stream| {
        let number: usize = arrival.host.trim_start_matches("a-").parse().unwrap_or(0);
        if fails.load(Ordering::SeqCst) && number < BAD_HOSTS && arrival.number % 10 != 9 {
            // The charge has run; its answer is an error.
            rec(&format!(
                "host {} runs {} and answers 500",
                arrival.host, arrival.id
            ));
            sleep_ms(3);
            return answer_status(
                stream,
                "500 Internal Server Error",
                "Content-Type: text/plain\r\n",
            );
        }
        sleep_ms(40);
        answer(stream, &body_for(&arrival.id, &arrival.host))
    });
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|n| {
            start_host(
                (&format!("a-{n}"), "liberia", n as u32 % 2 + 1, 0),
                None,
                &arrivals,
                Arc::clone(&behaviour),
            )
        })
        .collect();
    let endpoints: Vec<String> = hosts
        .iter()
        .map(|h| {
            format!(
                "    {{ name = \"{}\", address = \"{}\", group = {} }},\n",
                h.name, h.address, h.group
            )
        })
        .collect();
    let (tablet, batch) = (free_address(), free_address());
    let description = format!(
        r#"[class.lookup]
aim = "500ms"
deadline = "1200ms"
effect = "safe"

[class.charge]
aim = "800ms"
deadline = "1500ms"
effect = "unsafe"

[upstream.access]
endpoints = [
{}]
connections = 76
rate = 100
unsafe = ["/charges"]
keyed = []

[app.tablet]
listen = "{tablet}"
upstream = "access"
waits = "1500ms"
rate = 10
send = [
    {{ prefix = "/members", methods = ["GET"], class = "lookup" }},
    {{ prefix = "/charges", methods = ["POST"], class = "charge" }},
]

[app.batch]
listen = "{batch}"
upstream = "access"
waits = "1500ms"
rate = 200
send = [{{ prefix = "/charges", methods = ["POST"], class = "charge" }}]

# The mistake: this application describes the class in another way than the other one does, and takes an error, after
# which a charge may have run, for a proof that it never ran.
[app.batch.class.charge]
never_ran = [{{ status = 500, header = "Content-Type" }}]
"#,
        endpoints.concat()
    );
    let (path, folder) = (temporary.join("apps.toml"), temporary.join("sidecars"));
    std::fs::File::create(&path)
        .and_then(|mut f| f.write_all(description.as_bytes()))
        .unwrap_or_else(|e| cannot_run(&format!("description: {e}")));
    let written = tool(&format!(
        "write '{}' --out '{}'",
        path.display(),
        folder.display()
    ));
    if !written.0 {
        verdict(
            false,
            &format!(
                "the description is refused: {}",
                written.1.lines().next().unwrap_or_default()
            ),
        );
    }
    let checked = tool(&format!("check '{}'", folder.display()));
    if !checked.0 {
        verdict(
            false,
            &format!(
                "the files are refused: {}",
                checked.1.lines().next().unwrap_or_default()
            ),
        );
    }
    let file = folder.join("batch.toml");
    let single = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!(
            "exec target/release/badgerramp check '{}'",
            file.display()
        ))
        .current_dir(root())
        .output()
        .unwrap_or_else(|e| cannot_run(&format!("check: {e}")));
    rec(&format!("badgerramp check batch.toml: {}", single.status));
    if !single.status.success() {
        verdict(false, "the file is refused by itself");
    }
    let command = format!("exec target/release/badgerramp run '{}'", file.display());
    let child = start_command(&command, &[], &temporary.join("batch.log"));
    let mut proxy = wait_healthy("batch", batch, child);
    let started_ms = test_us() / 1_000;
    let ends: Ends = Arc::new(Mutex::new(Vec::new()));
    let threads: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (ends, address) = (Arc::clone(&ends), proxy.address);
            std::thread::spawn(move || {
                let mut client = Client::new(&format!("c{c}"), address);
                let mut n = 0;
                while test_us() < (started_ms + END_MS) * 1_000 {
                    let call = Call {
                        id: format!("c{c}-{n}"),
                        class: "charges".to_owned(),
                        method: "POST",
                        key: None,
                        timeout_ms: 1_400,
                        body: vec![b'x'; 200],
                    };
                    let ended = client.send(&call);
                    ends.lock().expect("ends").push(ended);
                    n += 1;
                    sleep_ms(30);
                }
            })
        })
        .collect();
    sleep_until_ms(started_ms + TROUBLE_AT_MS);
    if trouble {
        rec("two of eleven hosts begin to fail nine in ten requests");
        failing.store(true, Ordering::SeqCst);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let crashed = !proxy.runs();
    let mut runs: HashMap<String, Vec<Arrival>> = HashMap::new();
    for arrival in arrivals
        .all
        .lock()
        .expect("arrivals")
        .iter()
        .filter(|a| a.class == "charges")
    {
        runs.entry(arrival.id.clone())
            .or_default()
            .push(arrival.clone());
    }
    let mut twice = 0;
    for (id, runs) in runs.iter().filter(|(_, runs)| runs.len() > 1) {
        twice += 1;
        let hosts: Vec<&str> = runs.iter().map(|r| r.host.as_str()).collect();
        rec(&format!(
            "TWICE: the charge {id} was run at {}",
            hosts.join(", ")
        ));
    }
    let ends = ends.lock().expect("ends");
    let served = ends.iter().filter(|e| matches!(&e.end, End::Answer { status: 200, body } if is_answer_to(&e.call.id, body))).count();
    say(&format!("both files passed; {} requests, {served} served, {} charges were sent, {twice} of them ran more than once", ends.len(), runs.len()));
    if crashed {
        verdict(true, "the client proxy has ended");
    }
    if served < 200 {
        cannot_run("too little was served to judge");
    }
    verdict(
        twice > 0,
        &format!("{twice} charges ran more than once under files that the tool passed"),
    );
}
