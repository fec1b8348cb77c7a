//! The tool as its user meets it: what it writes, what it refuses and where, what a change would do.
#![expect(
    clippy::too_many_lines,
    reason = "a test plays one course of events from its start to its end"
)]

mod common;

use badgerramp_config_tool::commands::{check, check_against, compose, counts};
use badgerramp_config_tool::finding::Report;
use common::*;
use std::process::{Command, Output};

const NONE: (&str, &str) = ("", "");

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_badgerramp-config"))
        .args(arguments)
        .output()
        .expect("the tool starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// The files under `examples/` are what the description there gives, to the byte.
#[test]
fn the_examples_are_what_is_written() {
    let folder = examples().join("cordillera");
    let written = compose(&folder.join("apps.toml")).unwrap_or_else(|r| panic!("{}", r.human()));
    assert_eq!(written.files.len(), 6);
    for (name, text) in &written.files {
        let golden = std::fs::read_to_string(folder.join("sidecars").join(name)).expect("a file");
        assert!(golden == *text, "{name} differs: badgerramp-config write examples/cordillera/apps.toml --out examples/cordillera/sidecars");
    }
    let again = compose(&folder.join("apps.toml")).unwrap_or_else(|r| panic!("{}", r.human()));
    assert_eq!(
        written.files, again.files,
        "the same description, the same bytes"
    );
    let (report, set) = check(&[&folder.join("sidecars")]);
    assert!(
        report.good() && report.notes.is_empty() && set.applications.len() == 5,
        "{}",
        report.human()
    );
}

/// A class that inherits over two levels has the nearest word for each key.
#[test]
fn a_class_inherits_over_two_levels() {
    let night = text(
        &std::fs::read(examples().join("cordillera/sidecars/lote-cuotas.toml")).expect("a file"),
    );
    let class = night
        .split("[class.cobro-nocturno]")
        .nth(1)
        .and_then(|rest| rest.split("\n[").next())
        .expect("the class");
    for line in [
        "deadline = \"20s\"",
        "worth = 10",
        "connect = \"200ms\"",
        "late_worth = 1",
        "effect = \"unsafe\"",
    ] {
        assert_eq!(class.matches(line).count(), 1, "{line}");
    }
    assert!(!class.contains("1500ms") && !class.contains("late_worth = 0"));
}

/// One edit of the description, in apps.toml or in shared/classes.toml; the kind of what is found, and the line of the
/// description that it is told at, by words on it.
type Mistake = (
    &'static str,
    (&'static str, &'static str),
    (&'static str, &'static str),
    &'static str,
    &'static str,
);

const MISTAKES: &[Mistake] = &[
    // The ten that were known.
    ("a second copy of a charge", NONE, ("worth = 10", "worth = 10\nsecond_copy = \"auto\""), "file", "second_copy = \"auto\""),
    ("a resend of a charge", NONE, ("worth = 10", "worth = 10\nretry = \"failed\""), "file", "retry = \"failed\""),
    ("a proof that proves nothing", NONE, ("worth = 10", "worth = 10\nnever_ran = [{ status = 500 }]"), "file", "never_ran"),
    ("a charge by a lax class", ("class = \"cobro-mensual\" },", "class = \"consulta\" },"), NONE, "charge-lax", "name = \"charges\""),
    ("two on one listener", ("listen = \"127.0.0.1:8082\"", "listen = \"127.0.0.1:8081\""), NONE, "listener-shared", "listen = \"127.0.0.1:8081\""),
    ("an upstream that is not described", ("upstream = \"access\"\ninstances = 6", "upstream = \"acess\"\ninstances = 6"), NONE, "upstream-unknown", "upstream = \"acess\""),
    ("a window that the hosts do not keep", NONE, ("window = \"1200ms\"", "window = \"2s\""), "keyed-unhonoured", "name = \"entries\""),
    ("a client that sends again what may have run", ("retries = 1\n", "retries = 1\nretry_on = \"failed\"\n"), NONE, "client-resends", "retries = 1"),
    ("more connections than an endpoint holds", ("instances = 6", "instances = 60"), NONE, "connections", "connections = 76"),
    ("a total beyond the client's wait", ("[app.torniquete.class.registro-entrada]", "[app.torniquete.class.registro-entrada]\ntotal = \"1199ms\""), NONE, "file", "total = \"1199ms\""),
    // And more.
    ("an own total beyond the client's wait", ("send = [\n    { name = \"fees\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-nocturno\" }", "send = [\n    { name = \"fees\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-nocturno\", total = \"21s\" }"), NONE, "file", "name = \"fees\""),
    ("a route that outlasts its client", ("{ name = \"charges\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-mensual\" }", "{ name = \"charges\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-mensual\", total = \"1450ms\" }"), NONE, "client-gives-up", "total = \"1450ms\""),
    ("a catch-all that takes charges", ("{ name = \"members\", prefix = \"/socios\", class = \"consulta\" }", "{ name = \"members\", prefix = \"/\", class = \"consulta\" }"), NONE, "charge-lax", "name = \"members\", prefix = \"/\""),
    ("a pattern that takes charges", ("{ name = \"members\", prefix = \"/socios\", class = \"consulta\" }", "{ name = \"members\", regex = '/(socios|cobro-[a-z]+/x[0-9])', class = \"consulta\" }"), NONE, "charge-lax", "regex"),
    ("a path that hosts may take for a charge", ("{ name = \"members\", prefix = \"/socios\", class = \"consulta\" }", "{ name = \"members\", prefix = \"/Cobro-Mensual\", class = \"consulta\" }"), NONE, "path-alike", "/Cobro-Mensual"),
    ("an escaped path that hosts may take for a charge", ("{ name = \"members\", prefix = \"/socios\", class = \"consulta\" }", "{ name = \"members\", path = \"/cobro-mensual%2F7\", class = \"consulta\" }"), NONE, "path-alike", "%2F7"),
    ("a charge by an odd method", ("methods = [\"GET\"], class = \"consulta\" },\n    { name = \"members\", prefix = \"/socios\", class", "methods = [\"GET\", \"DELETE\"], class = \"consulta\" },\n    { name = \"members\", prefix = \"/socios\", class"), NONE, "charge-lax", "\"DELETE\""),
    ("a keyed class where nobody drops repeats", ("{ name = \"members\", prefix = \"/socios\", methods = [\"GET\"], class = \"consulta\" }", "{ name = \"members\", prefix = \"/socios\", methods = [\"PUT\"], class = \"registro-entrada\" }"), NONE, "keyed-unhonoured", "\"PUT\""),
    ("a group that the hosts do not have", NONE, ("group = \"group\"", "group = \"all\""), "keyed-unhonoured", "name = \"entries\""),
    ("a key from elsewhere", ("class = \"registro-entrada\" },\n    { name = \"charges\"", "class = \"registro-entrada\", key = { cookie = \"k\" } },\n    { name = \"charges\""), NONE, "class-differs", "cookie = \"k\""),
    ("a deadline of its own", ("[app.torniquete.class.registro-entrada]", "[app.torniquete.class.registro-entrada]\ndeadline = \"1300ms\""), NONE, "class-differs", "deadline = \"1300ms\""),
    ("an effect of its own", ("[app.torniquete.class.registro-entrada]", "[app.torniquete.class.registro-entrada]\nwindow = \"1100ms\""), NONE, "class-differs", "effect = \"keyed\""),
    ("more than the endpoints bear", ("rate = 40\n", "rate = 4000\n"), NONE, "rate", "rate = 100"),
    ("more than a cold endpoint bears", ("rate = 100\n", "rate = 38\n"), NONE, "cold", "rate = 38"),
    ("names that are one but for case", ("[app.oficina]", "[app.Kiosko]"), NONE, "name-alike", "[app."),
    ("names that are one but for their form", ("[app.oficina]", "[app.\"\u{212a}iosko\"]"), NONE, "name-alike", "[app."),
    ("a name that is no file's", ("[app.oficina]", "[app.\"../oficina\"]"), NONE, "name-alike", "[app.\"../"),
    ("a class that is not there", ("class = \"consulta\" },\n]\n\n# Turn", "class = \"consultas\" },\n]\n\n# Turn"), NONE, "file", "consultas"),
    ("a class that inherits from nobody", NONE, ("inherits = \"cobro-mensual\"", "inherits = \"cobro\""), "inherits", "inherits = \"cobro\""),
    ("classes that inherit in a circle", NONE, ("[class.interactive]", "[class.interactive]\ninherits = \"consulta\""), "inherits", "inherits = "),
    ("an include that is not there", ("shared/classes.toml", "shared/class.toml"), NONE, "include", "include = "),
    ("an include outside the folder", ("\"shared/classes.toml\"", "\"shared/classes.toml\", \"/etc/hostname\""), NONE, "include", "include = "),
    ("an include that includes itself", NONE, ("[class.interactive]", "include = [\"../apps.toml\"]\n[class.interactive]"), "include", "include = "),
    ("a key that nobody knows", ("instances = 6", "instance = 6"), NONE, "file", "instance = 6"),
    ("an application that sends nothing", ("rate = 20\nmemory", "rates = 20\nmemory"), NONE, "file", "rates = 20"),
    ("limits that do not hold", ("rate = 20\nmemory = \"32MiB\"", "rate = 20\nopen_calls = 200\nmemory = \"32MiB\""), NONE, "file", "open_calls = 200"),
    ("a route that another one takes", ("{ name = \"members\", prefix = \"/socios\", methods = [\"GET\"], class = \"consulta\" }", "{ name = \"members\", prefix = \"/cobro-mensual/x\", methods = [\"POST\"], class = \"cobro-nocturno\" }"), NONE, "file", "/cobro-mensual/x"),
    ("what is no TOML", ("[app.oficina]", "[app.oficina"), NONE, "file", "[app.oficina"),
];

#[test]
fn each_mistake_is_refused_at_its_line_and_nothing_is_written() {
    assert!(MISTAKES.len() >= 30);
    for (what, apps, classes, code, words) in MISTAKES {
        let folder = Folder::new();
        let description = chain(&folder, *apps, *classes);
        let report = compose(&description).expect_err(what);
        let at = |f: &badgerramp_config_tool::finding::Finding| {
            let (line, _) = report.line_of(&f.place);
            let (name, text) = &report.files[f.place.file];
            assert!(
                name.ends_with("apps.toml") || name.ends_with("classes.toml"),
                "{what}: told in {name}"
            );
            text.lines().nth(line - 1).unwrap_or_default().to_owned()
        };
        let found = report
            .findings
            .iter()
            .any(|f| f.code == *code && at(f).contains(words));
        assert!(found, "{what}: no {code} at {words:?}\n{}", report.human());
        assert!(
            report
                .findings
                .iter()
                .all(|f| !f.reason.is_empty() && !f.allowed.is_empty()),
            "{what}"
        );
        let out = folder.0.join("out");
        let output = run(&[
            "write",
            description.to_str().expect("a path"),
            "--out",
            out.to_str().expect("a path"),
        ]);
        assert_eq!(output.status.code(), Some(1), "{what}");
        assert!(!out.exists(), "{what}: something was written");
    }
}

/// What is checked over files that were changed by hand: the same kinds, told in the files.
#[test]
fn a_hand_in_a_written_file_is_found() {
    for (file, from, to, code) in [
        (
            "tableta.toml",
            "listen = \"127.0.0.1:8082\"",
            "listen = \"0.0.0.0:8081\"",
            "listener-shared",
        ),
        (
            "tableta.toml",
            "drain_grace = \"1s\"",
            "drain_grace = \"2s\"",
            "upstream-differs",
        ),
        (
            "tableta.toml",
            "cold_share = 0.31",
            "cold_share = 0.9",
            "upstream-differs",
        ),
        ("tableta.toml", "proxies = 15", "proxies = 1", "proxies"),
        (
            "tableta.toml",
            "group = 3 },\n]",
            "group = 1 },\n]",
            "upstream-differs",
        ),
        (
            "oficina.toml",
            "effect = \"unsafe\"",
            "effect = \"safe\"",
            "charge-lax",
        ),
        (
            "kiosko.toml",
            "window = \"1200ms\"",
            "window = \"1300ms\"",
            "keyed-unhonoured",
        ),
        (
            "kiosko.toml",
            "deadline = \"1200ms\"",
            "deadline = \"1100ms\"",
            "class-differs",
        ),
        (
            "tableta.toml",
            "total = \"1s 398ms\"",
            "total = \"1s 498ms\"",
            "client-gives-up",
        ),
        (
            "manifest.toml",
            "upstream = \"access\"",
            "upstream = \"other\"",
            "upstream-unknown",
        ),
        (
            "manifest.toml",
            "waits = \"1s 400ms\"",
            "waits = \"1s\"",
            "client-gives-up",
        ),
        (
            "manifest.toml",
            "file = \"kiosko.toml\"",
            "file = \"kiosk.toml\"",
            "file",
        ),
        ("manifest.toml", "version = 1", "version = 2", "file"),
    ] {
        let folder = Folder::new();
        for entry in std::fs::read_dir(examples().join("cordillera/sidecars"))
            .expect("a folder")
            .flatten()
        {
            let text = std::fs::read_to_string(entry.path()).expect("a file");
            folder.put(entry.file_name().to_str().expect("a name"), &text);
        }
        let text = folder.get(file);
        assert!(text.contains(from), "{file}: {from}");
        folder.put(file, &text.replacen(from, to, 1));
        let (report, _) = check(&[&folder.0]);
        let found = report.findings.iter().find(|f| f.code == code);
        let found = found.unwrap_or_else(|| panic!("{file} {to}: no {code}\n{}", report.human()));
        let (line, _) = report.line_of(&found.place);
        assert!(
            line > 1 || file == "manifest.toml",
            "{file} {to}\n{}",
            report.human()
        );
        let output = run(&["check", folder.0.to_str().expect("a path")]);
        assert_eq!(output.status.code(), Some(1), "{}", text_of(&output));
    }
}

fn text_of(output: &Output) -> String {
    text(&output.stdout) + &text(&output.stderr)
}

/// Single files are held against one another, as far as they tell.
#[test]
fn files_without_a_manifest_are_checked_together() {
    let folder = examples().join("cordillera/sidecars");
    let file = |name: &str| folder.join(name).to_str().expect("a path").to_owned();
    let output = run(&["check", &file("kiosko.toml"), &file("tableta.toml")]);
    assert_eq!(output.status.code(), Some(0), "{}", text_of(&output));
    let own = Folder::new();
    let changed = std::fs::read_to_string(file("tableta.toml"))
        .expect("a file")
        .replace("window = \"1200ms\"", "window = \"1250ms\"");
    let changed = own.put("tableta.toml", &changed);
    let output = run(&[
        "check",
        &file("kiosko.toml"),
        changed.to_str().expect("a path"),
    ]);
    assert!(
        output.status.code() == Some(1) && text(&output.stdout).contains("class-differs"),
        "{}",
        text_of(&output)
    );
}

#[test]
fn a_file_that_was_changed_by_hand_is_not_written_over() {
    let folder = Folder::new();
    let description = chain(&folder, NONE, NONE);
    let (description, out) = (
        description.to_str().expect("a path").to_owned(),
        folder.0.join("out"),
    );
    let out = out.to_str().expect("a path");
    let write = |more: &[&str]| run(&[&["write", &description, "--out", out], more].concat());
    let output = write(&["--dry-run"]);
    assert!(
        output.status.success() && text(&output.stdout).contains("+listen = \"127.0.0.1:8081\""),
        "{}",
        text_of(&output)
    );
    assert!(!folder.0.join("out").exists());
    assert!(write(&[]).status.success());
    let before = folder.get("out/kiosko.toml");
    // Nothing new, nothing done.
    assert!(text(&write(&[]).stdout).starts_with("0 of 6 files were written"));
    folder.put("out/kiosko.toml", &format!("{before}# by hand\n"));
    let output = write(&[]);
    assert!(
        output.status.code() == Some(1) && text(&output.stderr).contains("kiosko.toml"),
        "{}",
        text_of(&output)
    );
    assert!(folder.get("out/kiosko.toml").ends_with("# by hand\n"));
    let output = run(&["check", out]);
    assert!(
        output.status.success() && text(&output.stdout).contains("kiosko.toml was changed by hand"),
        "{}",
        text_of(&output)
    );
    let output = write(&["--dry-run", "--force"]);
    assert!(
        text(&output.stdout).contains("-# by hand"),
        "{}",
        text_of(&output)
    );
    assert!(write(&["--force"]).status.success());
    assert_eq!(folder.get("out/kiosko.toml"), before);
    // An application that goes takes its file along, but not one that was changed by hand, nor a stranger's.
    folder.put("out/notes.txt", "mine");
    let apps = folder.get("apps.toml");
    let without = apps
        .split("# The office reads")
        .next()
        .expect("the beginning");
    folder.put("apps.toml", without);
    folder.put("out/oficina.toml", "# by hand\n");
    assert_eq!(write(&[]).status.code(), Some(1));
    assert!(write(&["--force"]).status.success());
    assert!(!folder.0.join("out/oficina.toml").exists() && folder.0.join("out/notes.txt").exists());
    assert!(run(&["check", out]).status.success());
}

/// A mistake in a shared part is told once, with the applications that it reaches.
#[test]
fn a_shared_mistake_is_told_once_for_two_hundred_applications() {
    let folder = Folder::new();
    let mut apps = APPS
        .split("# At the doors.")
        .next()
        .expect("the upstream")
        .replace("connections = 76", "connections = 5000");
    for n in 0..200 {
        apps += &format!(
            "[app.kiosk-{n}]\nlisten = \"127.0.0.1:{}\"\nupstream = \"access\"\nwaits = \"1200ms\"\nrate = 0.5\n\
             send = [{{ prefix = \"/registro-entrada\", methods = [\"POST\"], class = \"registro-entrada\" }}]\n",
            10_000 + n
        );
    }
    folder.put("shared/classes.toml", CLASSES);
    let description = folder.put("apps.toml", &apps);
    let written = compose(&description).unwrap_or_else(|r| panic!("{}", r.human()));
    assert_eq!(written.files.len(), 201);
    folder.put(
        "shared/classes.toml",
        &CLASSES.replace("attempt = \"350ms\"", "attempt = \"700ms\""),
    );
    let report = compose(&description).expect_err("attempts that do not fit");
    // They do not fit the total, and the last would come after the window: two things wrong, each told once.
    assert!(report.findings.len() <= 2, "{}", report.human());
    assert!(report
        .findings
        .iter()
        .all(|f| f.apps.len() == 200 && report.files[f.place.file].0.ends_with("classes.toml")));
    assert!(
        report.human().contains("and 195 more applications"),
        "{}",
        report.human()
    );
    // Also where only the files are there: the mistake is in each of them.
    let out = Folder::new();
    for (name, text) in &written.files {
        out.put(
            name,
            &text.replace(
                "second_copy = \"after 200ms\"",
                "second_copy = \"after 900ms\"",
            ),
        );
    }
    let (report, _) = check(&[&out.0]);
    assert!(
        report.findings.len() <= 2 && report.findings.iter().all(|f| f.apps.len() == 200),
        "{}",
        report.human()
    );
}

/// At the edge: a last attempt that starts with the window's end is outside it, one before is not.
#[test]
fn a_window_is_over_at_its_end() {
    for (window, good) in [("1050ms", true), ("701ms", true), ("700ms", false)] {
        let folder = Folder::new();
        let description = chain(
            &folder,
            NONE,
            ("window = \"1200ms\"", &format!("window = \"{window}\"")),
        );
        assert_eq!(compose(&description).is_ok(), good, "{window}");
    }
}

// Two sets side by side.

/// What a change of the description, in apps.toml or in the classes, makes of the set.
fn rollout(apps: (&str, &str), classes: (&str, &str)) -> Report {
    let folder = Folder::new();
    let description = chain(&folder, apps, classes);
    let written = compose(&description).unwrap_or_else(|r| panic!("{}", r.human()));
    written
        .files
        .iter()
        .for_each(|(name, text)| drop(folder.put(&format!("new/{name}"), text)));
    check_against(
        &examples().join("cordillera/sidecars"),
        &folder.0.join("new"),
    )
}

#[test]
fn a_change_that_is_unsafe_while_both_run_is_refused() {
    let keyed = "effect = \"keyed\"\ngroup = \"group\"\nwindow = \"1200ms\"\nattempts = 3\nattempt = \"350ms\"\nsecond_copy = \"after 200ms\"";
    for (apps, classes, code) in [
        (("listen = \"127.0.0.1:8081\"", "listen = \"127.0.0.1:8091\""), NONE, "listener-moved"),
        (NONE, ("window = \"1200ms\"", "window = \"1100ms\""), "window-shrinks"),
        (("group = 3 },\n]", "group = 2 },\n]"), NONE, "group-moved"),
        (
            ("{ name = \"entries\", prefix = \"/registro-entrada\", methods = [\"POST\"], class = \"registro-entrada\" },\n]", "{ name = \"entries\", prefix = \"/registro-entrada\", methods = [\"POST\"], class = \"cobro-mensual\" },\n]"),
            NONE,
            "path-changed",
        ),
    ] {
        let report = rollout(apps, classes);
        assert!(counts(&report).contains_key(code), "{code}\n{}", report.human());
    }
    // A class that turns from keyed to unsafe: no second copies, and nothing of its own beside it.
    let folder = Folder::new();
    let apps = APPS.replace(
        "[app.torniquete.class.registro-entrada]\nsecond_copy = \"off\"\nattempts = 2\n",
        "",
    );
    folder.put("apps.toml", &apps);
    assert!(CLASSES.contains(keyed));
    folder.put(
        "shared/classes.toml",
        &CLASSES.replace(keyed, "effect = \"unsafe\""),
    );
    let written = compose(&folder.0.join("apps.toml")).unwrap_or_else(|r| panic!("{}", r.human()));
    written
        .files
        .iter()
        .for_each(|(name, text)| drop(folder.put(&format!("new/{name}"), text)));
    let report = check_against(
        &examples().join("cordillera/sidecars"),
        &folder.0.join("new"),
    );
    assert!(
        counts(&report).contains_key("effect-changed"),
        "{}",
        report.human()
    );
    let old = examples().join("cordillera/sidecars");
    let output = run(&[
        "check",
        "--against",
        old.to_str().expect("a path"),
        folder.0.join("new").to_str().expect("a path"),
    ]);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn a_change_that_is_safe_is_told_application_by_application() {
    let report = rollout(
        ("waits = \"1400ms\"", "waits = \"1450ms\""),
        ("attempt = \"350ms\"", "attempt = \"340ms\""),
    );
    assert!(report.good(), "{}", report.human());
    for note in [
        "kiosko: route entries: attempt 350ms -> 340ms",
        "tableta: route charges: total 1s 398ms -> 1s 448ms",
    ] {
        assert!(
            report.notes.iter().any(|n| n == note),
            "{note}\n{}",
            report.human()
        );
    }
    assert!(
        !report.notes.iter().any(|n| n.starts_with("lote-cuotas")),
        "{}",
        report.human()
    );
    let report = rollout(NONE, NONE);
    assert!(
        report.good() && report.notes.is_empty(),
        "{}",
        report.human()
    );
    let report = rollout(("memory = \"32MiB\"", "memory = \"48MiB\""), NONE);
    assert!(
        report.good() && report.human().contains("limits.memory changes"),
        "{}",
        report.human()
    );
}

// The command line.

#[test]
fn explain_tells_route_class_timing_and_why() {
    let folder = examples().join("cordillera/sidecars");
    let file = folder
        .join("tableta.toml")
        .to_str()
        .expect("a path")
        .to_owned();
    let told = |arguments: &[&str]| text_of(&run(&[&["explain", &file], arguments].concat()));
    let entry = told(&[
        "--request",
        "POST //registro-entrada/7?x",
        "--header",
        "Idempotency-Key: k1",
    ]);
    for words in [
        "/registro-entrada/7 (normal form)",
        "\"entries\"",
        "keyed",
        "\"k1\", from header idempotency-key",
        "class.registro-entrada.attempt, line",
    ] {
        assert!(entry.contains(words), "{words}\n{entry}");
    }
    assert!(told(&["--request", "POST /registro-entrada"]).contains("never sent twice"));
    let other = told(&["--request", "PUT /socios"]);
    assert!(
        other.contains("not \"members\": its methods") && other.contains("answered 404"),
        "{other}"
    );
    let course = told(&["--class", "registro-entrada"]);
    for words in [
        "attempt 1 goes out",
        "200ms  a second copy",
        "attempt 3 has ended",
        "the client gives up",
    ] {
        assert!(course.contains(words), "{words}\n{course}");
    }
    assert!(told(&["--class", "registro"]).contains("did you mean \"registro-entrada\"?"));
    let json: serde_json::Value = serde_json::from_str(&told(&[
        "--format",
        "json",
        "--request",
        "POST /cobro-mensual",
    ]))
    .expect("JSON");
    assert_eq!(json["class"][0], "cobro-mensual");
    let own = examples()
        .join("../deploy/expressions.example.toml")
        .to_str()
        .expect("a path")
        .to_owned();
    let arguments = [
        "explain",
        &own,
        "--request",
        "POST /visits",
        "--header",
        "X-Visit: 81",
        "--header",
        "X-Branch: CR-7",
    ];
    let told = text_of(&run(&arguments));
    for words in [
        "method in [\"POST\", \"PUT\"]  =  true",
        "header[\"x-visit\"]  =  \"81\"",
        "concat(header[\"x-branch\"], header[\"x-visit\"])  =  \"4:CR-72:81\"",
        "\"4:CR-72:81\", from expression concat",
    ] {
        assert!(told.contains(words), "{words}\n{told}");
    }
    let told = text_of(&run(&[
        "explain",
        &own,
        "--request",
        "POST /fees",
        "--header",
        "X-Branch: CR-7",
    ]));
    assert!(
        told.contains("not \"charges\": its condition, method == \"POST\""),
        "{told}"
    );
    assert_eq!(
        run(&["explain", &file, "--request", "POST"]).status.code(),
        Some(2)
    );
    assert_eq!(run(&["explain", &file]).status.code(), Some(2));
}

#[test]
fn findings_are_told_to_machines_in_a_stable_form() {
    let folder = Folder::new();
    let description = chain(
        &folder,
        ("listen = \"127.0.0.1:8082\"", "listen = \"127.0.0.1:8081\""),
        NONE,
    );
    let output = run(&[
        "--format",
        "json",
        "write",
        description.to_str().expect("a path"),
        "--out",
        "/nowhere",
    ]);
    assert_eq!(output.status.code(), Some(1));
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(
        (&json["version"], &json["good"]),
        (&1.into(), &false.into())
    );
    let finding = &json["findings"][0];
    assert_eq!(
        (&finding["code"], &finding["place"]["line"]),
        (&"listener-shared".into(), &42.into())
    );
    assert!(finding["applications"]
        .as_array()
        .is_some_and(|a| a.len() == 1));
    for key in ["key", "reason", "found", "allowed", "related"] {
        assert!(!finding[key].is_null(), "{key}");
    }
}

#[test]
fn the_way_from_init_to_files_is_open() {
    let folder = Folder::new();
    let (description, out) = (folder.0.join("apps.toml"), folder.0.join("sidecars"));
    let (description, out) = (
        description.to_str().expect("a path"),
        out.to_str().expect("a path"),
    );
    assert!(run(&["init", description]).status.success());
    assert_eq!(
        run(&["init", description]).status.code(),
        Some(1),
        "nothing is written over"
    );
    assert_eq!(text(&run(&["init", "-"]).stdout), folder.get("apps.toml"));
    let output = run(&["write", description, "--out", out]);
    assert!(output.status.success(), "{}", text_of(&output));
    assert!(run(&["check", out]).status.success());
    for bad in [
        &["write", description][..],
        &["check"],
        &["chekc"],
        &["check", "--against", out, out, out],
    ] {
        assert_eq!(run(bad).status.code(), Some(2), "{bad:?}");
    }
    assert_eq!(run(&["check", "/nowhere/at/all"]).status.code(), Some(1));
}
