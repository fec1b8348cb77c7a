//! Tests of the tool's operations and command line: generated files, findings and their locations, and rollouts.
#![expect(
    clippy::too_many_lines,
    reason = "a test covers one scenario from start to end"
)]

mod common;

use badgerramp_config_tool::commands::{
    check, check_against, check_texts, count_by_code, generate,
};
use badgerramp_config_tool::finding::Report;
use badgerramp_config_tool::fleet::check_folder;
use common::*;
use std::process::{Command, Output};

/// An edit that changes nothing.
const NO_EDIT: (&str, &str) = ("", "");

/// Runs the tool.
fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_badgerramp-config"))
        .args(arguments)
        .output()
        .expect("the tool starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// The generated files under `examples/` match their description byte by byte.
#[test]
fn generated_examples_match_their_description() {
    let folder = examples().join("cordillera");
    let generated = generate(&folder.join("apps.toml")).unwrap_or_else(|r| panic!("{}", r.human()));
    assert_eq!(generated.files.len(), 6);
    for (name, text) in &generated.files {
        let expected = std::fs::read_to_string(folder.join("sidecars").join(name)).expect("a file");
        assert!(expected == *text, "{name} differs: badgerramp-config write examples/cordillera/apps.toml --out examples/cordillera/sidecars");
    }
    let regenerated =
        generate(&folder.join("apps.toml")).unwrap_or_else(|r| panic!("{}", r.human()));
    assert_eq!(
        generated.files, regenerated.files,
        "generation is deterministic"
    );
    let (report, set) = check(&[&folder.join("sidecars")]);
    assert!(
        report.is_clean() && report.notes.is_empty() && set.applications.len() == 5,
        "{}",
        report.human()
    );
}

/// A class that inherits over two levels gets the nearest definition of each key.
#[test]
fn the_nearest_definition_of_a_key_is_inherited_over_two_levels() {
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

/// An invalid edit of the description: its name, the replacements in apps.toml and in shared/classes.toml, the expected
/// code of the finding, and a part of the line where it is expected.
type InvalidEdit = (
    &'static str,
    (&'static str, &'static str),
    (&'static str, &'static str),
    &'static str,
    &'static str,
);

const INVALID_EDITS: &[InvalidEdit] = &[
    ("a second copy for an unsafe class", NO_EDIT, ("worth = 10", "worth = 10\nsecond_copy = \"auto\""), "file", "second_copy = \"auto\""),
    ("retry on failure for an unsafe class", NO_EDIT, ("worth = 10", "worth = 10\nretry = \"failed\""), "file", "retry = \"failed\""),
    ("a status alone as proof that an attempt never ran", NO_EDIT, ("worth = 10", "worth = 10\nnever_ran = [{ status = 500 }]"), "file", "never_ran"),
    ("a failure status as proof that an attempt never ran", NO_EDIT, ("worth = 10", "worth = 10\nnever_ran = [{ status = 500, header = \"Content-Type\" }]"), "file", "never_ran"),
    ("a common header as proof for the keyed calls of one application", ("[app.torniquete.class.registro-entrada]", "[app.torniquete.class.registro-entrada]\nnever_ran = [{ status = 503, header = \"Retry-After\" }]"), NO_EDIT, "file", "never_ran"),
    ("a common header as proof in a route", ("{ name = \"charges\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-mensual\" }", "{ name = \"charges\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-mensual\", never_ran = [{ status = 504, header = \"Via\" }] }"), NO_EDIT, "file", "name = \"charges\""),
    ("unsafe requests in a safe class", ("class = \"cobro-mensual\" },", "class = \"consulta\" },"), NO_EDIT, "charge-lax", "name = \"charges\""),
    ("two applications on one listener", ("listen = \"127.0.0.1:8082\"", "listen = \"127.0.0.1:8081\""), NO_EDIT, "listener-shared", "listen = \"127.0.0.1:8081\""),
    ("an unknown upstream", ("upstream = \"access\"\ninstances = 6", "upstream = \"acess\"\ninstances = 6"), NO_EDIT, "upstream-unknown", "upstream = \"acess\""),
    ("a window longer than the endpoints remember keys", NO_EDIT, ("window = \"1200ms\"", "window = \"2s\""), "keyed-unhonoured", "name = \"entries\""),
    ("a client that retries failed unsafe calls", ("retries = 1\n", "retries = 1\nretry_on = \"failed\"\n"), NO_EDIT, "client-resends", "retries = 1"),
    ("more connections than an endpoint can hold", ("instances = 6", "instances = 60"), NO_EDIT, "connections", "connections = 76"),
    ("a class total that exceeds the client's timeout", ("[app.torniquete.class.registro-entrada]", "[app.torniquete.class.registro-entrada]\ntotal = \"1199ms\""), NO_EDIT, "file", "total = \"1199ms\""),
    ("a route total that exceeds the deadline", ("send = [\n    { name = \"fees\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-nocturno\" }", "send = [\n    { name = \"fees\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-nocturno\", total = \"21s\" }"), NO_EDIT, "file", "name = \"fees\""),
    ("a route total that exceeds the client's timeout", ("{ name = \"charges\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-mensual\" }", "{ name = \"charges\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-mensual\", total = \"1450ms\" }"), NO_EDIT, "client-gives-up", "total = \"1450ms\""),
    ("a catch-all route that matches unsafe requests", ("{ name = \"members\", prefix = \"/socios\", class = \"consulta\" }", "{ name = \"members\", prefix = \"/\", class = \"consulta\" }"), NO_EDIT, "charge-lax", "name = \"members\", prefix = \"/\""),
    ("a pattern that matches unsafe requests", ("{ name = \"members\", prefix = \"/socios\", class = \"consulta\" }", "{ name = \"members\", regex = '/(socios|cobro-[a-z]+/x[0-9])', class = \"consulta\" }"), NO_EDIT, "charge-lax", "regex"),
    ("a path that differs from an unsafe path only in case", ("{ name = \"members\", prefix = \"/socios\", class = \"consulta\" }", "{ name = \"members\", prefix = \"/Cobro-Mensual\", class = \"consulta\" }"), NO_EDIT, "path-alike", "/Cobro-Mensual"),
    ("a path that is unsafe after decoding", ("{ name = \"members\", prefix = \"/socios\", class = \"consulta\" }", "{ name = \"members\", path = \"/cobro-mensual%2F7\", class = \"consulta\" }"), NO_EDIT, "path-alike", "%2F7"),
    ("an unsafe request with an unusual method", ("methods = [\"GET\"], class = \"consulta\" },\n    { name = \"members\", prefix = \"/socios\", class", "methods = [\"GET\", \"DELETE\"], class = \"consulta\" },\n    { name = \"members\", prefix = \"/socios\", class"), NO_EDIT, "charge-lax", "\"DELETE\""),
    ("a keyed class where retries are not deduplicated", ("{ name = \"members\", prefix = \"/socios\", methods = [\"GET\"], class = \"consulta\" }", "{ name = \"members\", prefix = \"/socios\", methods = [\"PUT\"], class = \"registro-entrada\" }"), NO_EDIT, "keyed-unhonoured", "\"PUT\""),
    ("a keyed pattern that also matches paths where retries are not deduplicated", ("{ name = \"exits\", path = \"/registro-entrada/salida\"", "{ name = \"exits\", regex = '/registro-(entrada|salida)(/.*)?'"), NO_EDIT, "keyed-unhonoured", "name = \"exits\""),
    ("a keyed pattern that matches a path that only begins like the upstream's", ("{ name = \"exits\", path = \"/registro-entrada/salida\"", "{ name = \"exits\", regex = '/registro-entrada[a-z]*(/salida)?'"), NO_EDIT, "keyed-unhonoured", "name = \"exits\""),
    ("a wider deduplication scope than the upstream's", NO_EDIT, ("group = \"group\"", "group = \"all\""), "keyed-unhonoured", "name = \"entries\""),
    ("a key from another source", ("class = \"registro-entrada\" },\n    { name = \"charges\"", "class = \"registro-entrada\", key = { cookie = \"k\" } },\n    { name = \"charges\""), NO_EDIT, "class-differs", "cookie = \"k\""),
    ("an application-specific deadline", ("[app.torniquete.class.registro-entrada]", "[app.torniquete.class.registro-entrada]\ndeadline = \"1300ms\""), NO_EDIT, "class-differs", "deadline = \"1300ms\""),
    ("an application-specific window", ("[app.torniquete.class.registro-entrada]", "[app.torniquete.class.registro-entrada]\nwindow = \"1100ms\""), NO_EDIT, "class-differs", "effect = \"keyed\""),
    ("application-specific proofs that an attempt never ran", ("[app.torniquete.class.registro-entrada]", "[app.torniquete.class.registro-entrada]\nnever_ran = [{ status = 429, header = \"X-Shed\", value = \"1\" }]"), NO_EDIT, "class-differs", "never_ran"),
    ("proofs of a route that another application's route of the class lacks", ("{ name = \"charges\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-mensual\" }", "{ name = \"charges\", prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-mensual\", never_ran = [{ status = 425, header = \"X-Shed\" }] }"), NO_EDIT, "class-differs", "name = \"charges\""),
    ("a higher rate than the endpoints can serve", ("rate = 40\n", "rate = 4000\n"), NO_EDIT, "rate", "rate = 100"),
    ("a higher rate than an endpoint in slow start can serve", ("rate = 100\n", "rate = 38\n"), NO_EDIT, "cold", "rate = 38"),
    ("names that differ only in case", ("[app.oficina]", "[app.Kiosko]"), NO_EDIT, "name-alike", "[app."),
    ("names that differ only in Unicode form", ("[app.oficina]", "[app.\"\u{212a}iosko\"]"), NO_EDIT, "name-alike", "[app."),
    ("a name that can't be a file name", ("[app.oficina]", "[app.\"../oficina\"]"), NO_EDIT, "name-alike", "[app.\"../"),
    ("an unknown class", ("class = \"consulta\" },\n]\n\n# Turn", "class = \"consultas\" },\n]\n\n# Turn"), NO_EDIT, "file", "consultas"),
    ("a class that inherits from an unknown class", NO_EDIT, ("inherits = \"cobro-mensual\"", "inherits = \"cobro\""), "inherits", "inherits = \"cobro\""),
    ("classes with cyclic inheritance", NO_EDIT, ("[class.interactive]", "[class.interactive]\ninherits = \"consulta\""), "inherits", "inherits = "),
    ("an include that does not exist", ("shared/classes.toml", "shared/class.toml"), NO_EDIT, "include", "include = "),
    ("an include outside the folder", ("\"shared/classes.toml\"", "\"shared/classes.toml\", \"/etc/hostname\""), NO_EDIT, "include", "include = "),
    ("an include that includes itself", NO_EDIT, ("[class.interactive]", "include = [\"../apps.toml\"]\n[class.interactive]"), "include", "include = "),
    ("an unknown key", ("instances = 6", "instance = 6"), NO_EDIT, "file", "instance = 6"),
    ("an application without a rate", ("rate = 20\nmemory", "rates = 20\nmemory"), NO_EDIT, "file", "rates = 20"),
    ("limits that contradict each other", ("rate = 20\nmemory = \"32MiB\"", "rate = 20\nopen_calls = 200\nmemory = \"32MiB\""), NO_EDIT, "file", "open_calls = 200"),
    ("a route that an earlier one shadows", ("{ name = \"members\", prefix = \"/socios\", methods = [\"GET\"], class = \"consulta\" }", "{ name = \"members\", prefix = \"/cobro-mensual/x\", methods = [\"POST\"], class = \"cobro-nocturno\" }"), NO_EDIT, "file", "/cobro-mensual/x"),
    ("a TOML syntax error", ("[app.oficina]", "[app.oficina"), NO_EDIT, "file", "[app.oficina"),
];

#[test]
fn each_invalid_edit_is_reported_at_its_line_and_nothing_is_written() {
    assert!(INVALID_EDITS.len() >= 30);
    for (case, apps_edit, classes_edit, code, line_part) in INVALID_EDITS {
        let folder = TempFolder::new();
        let description = write_description(&folder, *apps_edit, *classes_edit);
        let report = generate(&description).expect_err(case);
        let line_text = |f: &badgerramp_config_tool::finding::Finding| {
            let (line, _) = report.line_and_column(&f.location);
            let (name, text) = &report.files[f.location.file];
            assert!(
                name.ends_with("apps.toml") || name.ends_with("classes.toml"),
                "{case}: reported in {name}"
            );
            text.lines().nth(line - 1).unwrap_or_default().to_owned()
        };
        let found = report
            .findings
            .iter()
            .any(|f| f.code == *code && line_text(f).contains(line_part));
        assert!(
            found,
            "{case}: no {code} at {line_part:?}\n{}",
            report.human()
        );
        assert!(
            report
                .findings
                .iter()
                .all(|f| !f.reason.is_empty() && !f.allowed.is_empty()),
            "{case}"
        );
        let out = folder.0.join("out");
        let output = run(&[
            "write",
            description.to_str().expect("a path"),
            "--out",
            out.to_str().expect("a path"),
        ]);
        assert_eq!(output.status.code(), Some(1), "{case}");
        assert!(!out.exists(), "{case}: something was written");
    }
}

/// Invalid changes that were made by hand in generated files are reported in those files.
#[test]
fn an_invalid_manual_change_of_a_generated_file_is_reported_in_it() {
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
        let folder = TempFolder::new();
        for entry in std::fs::read_dir(examples().join("cordillera/sidecars"))
            .expect("a folder")
            .flatten()
        {
            let text = std::fs::read_to_string(entry.path()).expect("a file");
            folder.write(entry.file_name().to_str().expect("a name"), &text);
        }
        let text = folder.read(file);
        assert!(text.contains(from), "{file}: {from}");
        folder.write(file, &text.replacen(from, to, 1));
        let (report, _) = check(&[&folder.0]);
        let found = report.findings.iter().find(|f| f.code == code);
        let found = found.unwrap_or_else(|| panic!("{file} {to}: no {code}\n{}", report.human()));
        let (line, _) = report.line_and_column(&found.location);
        assert!(
            line > 1 || file == "manifest.toml",
            "{file} {to}\n{}",
            report.human()
        );
        let output = run(&["check", folder.0.to_str().expect("a path")]);
        assert_eq!(output.status.code(), Some(1), "{}", output_text(&output));
    }
}

fn output_text(output: &Output) -> String {
    text(&output.stdout) + &text(&output.stderr)
}

/// Single files are checked against one another without their contracts.
#[test]
fn files_without_a_manifest_are_checked_together() {
    let folder = examples().join("cordillera/sidecars");
    let file = |name: &str| folder.join(name).to_str().expect("a path").to_owned();
    let output = run(&["check", &file("kiosko.toml"), &file("tableta.toml")]);
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    let other_folder = TempFolder::new();
    let changed = std::fs::read_to_string(file("tableta.toml"))
        .expect("a file")
        .replace("window = \"1200ms\"", "window = \"1250ms\"");
    let changed = other_folder.write("tableta.toml", &changed);
    let own_proofs = std::fs::read_to_string(file("tableta.toml"))
        .expect("a file")
        .replace(
            "effect = \"keyed\"",
            "never_ran = [{ status = 425, header = \"X-Shed\" }]\neffect = \"keyed\"",
        );
    let own_proofs = other_folder.write("own.toml", &own_proofs);
    for path in [changed, own_proofs] {
        let output = run(&[
            "check",
            &file("kiosko.toml"),
            path.to_str().expect("a path"),
        ]);
        assert!(
            output.status.code() == Some(1) && text(&output.stdout).contains("class-differs"),
            "{}",
            output_text(&output)
        );
    }
}

/// The text of an application that is in no description: its clients send charges as safe calls to the same endpoints.
fn lax_application() -> String {
    let folder = examples().join("cordillera/sidecars");
    let office = std::fs::read_to_string(folder.join("oficina.toml")).expect("a file");
    let charges = "[[route]]\nname = \"refunds\"\npath = \"/cobro-mensual/devolucion\"\nclass = \"consulta\"\n";
    let first_route = office.find("[[route]]").expect("a route");
    let (head, routes) = office.split_at(first_route);
    let text = format!("{head}{charges}\n{routes}").replace("127.0.0.1:8085", "127.0.0.1:8090");
    badgerramp_config::parse("devoluciones.toml", &text).unwrap_or_else(|d| panic!("{d}"));
    text
}

/// `publish` publishes each file of a folder. One that the manifest does not list was published without a check against the
/// upstream's contract or the other files.
#[test]
fn a_file_beside_the_manifest_is_checked_before_it_is_published() {
    let folder = TempFolder::new();
    for entry in std::fs::read_dir(examples().join("cordillera/sidecars"))
        .expect("a folder")
        .flatten()
    {
        let text = std::fs::read_to_string(entry.path()).expect("a file");
        folder.write(entry.file_name().to_str().expect("a name"), &text);
    }
    let check_published = || check_folder(&folder.0).expect("a folder");
    assert!(
        check_published().is_clean(),
        "{}",
        check_published().human()
    );
    let sound = lax_application().replace("class = \"consulta\"", "class = \"cobro-mensual\"");
    folder.write("devoluciones.toml", &sound);
    assert!(
        check_published().is_clean(),
        "{}",
        check_published().human()
    );
    folder.write("devoluciones.toml", &lax_application());
    let report = check_published();
    let found = report.findings.iter().find(|f| f.code == "charge-lax");
    let found = found.unwrap_or_else(|| panic!("{}", report.human()));
    assert!(report.files[found.location.file]
        .0
        .ends_with("devoluciones.toml"));
}

/// A generation that is published again was checked by the release that published it first, which knew fewer mistakes.
#[test]
fn files_of_an_earlier_generation_are_checked_together() {
    let folder = examples().join("cordillera/sidecars");
    let file = |name: &str| std::fs::read_to_string(folder.join(name)).expect("a file");
    let mut files: std::collections::HashMap<String, String> = ["kiosko", "tableta"]
        .map(|name| (name.to_owned(), file(&format!("{name}.toml"))))
        .into();
    // On another machine it may listen on the same port.
    let same_port = file("tableta.toml").replace("127.0.0.1:8082", "127.0.0.1:8081");
    files.insert("tableta".to_owned(), same_port);
    let report = check_texts(&files);
    assert!(report.is_clean(), "{}", report.human());
    let own_proofs = "never_ran = [{ status = 425, header = \"X-Shed\" }]\neffect = \"keyed\"";
    let contradicting = file("tableta.toml").replace("effect = \"keyed\"", own_proofs);
    files.insert("tableta".to_owned(), contradicting);
    let report = check_texts(&files);
    assert_eq!(
        count_by_code(&report).get("class-differs"),
        Some(&1),
        "{}",
        report.human()
    );
}

#[test]
fn a_keyed_pattern_within_the_upstreams_keyed_paths_is_accepted() {
    for pattern in [
        "/registro-entrada(/salida)?",
        "/registro-entrada/(salida|puerta-[0-9]+)/.*",
        "/registro-entrada(/[^/]+){0,3}",
    ] {
        let folder = TempFolder::new();
        let exits = "{ name = \"exits\", path = \"/registro-entrada/salida\"";
        let edit = format!("{{ name = \"exits\", regex = '{pattern}'");
        let description = write_description(&folder, (exits, &edit), NO_EDIT);
        generate(&description).unwrap_or_else(|report| panic!("{pattern}: {}", report.human()));
    }
}

/// Proofs of a class may be the applications' own where no two of them speak of the same endpoints, or where a call may run
/// twice.
#[test]
fn proofs_may_differ_between_applications_if_that_contradicts_nothing() {
    const PROOFS: &str = "never_ran = [{ status = 429, header = \"X-Shed\", value = \"1\" }]";
    let own = |class: &str| format!("[app.oficina.class.{class}]\n{PROOFS}\n\n[app.kiosko]");
    for (case, apps_edit, classes_edit) in [
        (
            "all applications have them",
            NO_EDIT,
            ("worth = 10", &*format!("worth = 10\n{PROOFS}")),
        ),
        ("a safe class", ("[app.kiosko]", &*own("consulta")), NO_EDIT),
        (
            "a class of one application",
            NO_EDIT,
            (
                "deadline = \"20s\"",
                &*format!("deadline = \"20s\"\n{PROOFS}"),
            ),
        ),
    ] {
        let folder = TempFolder::new();
        let classes_edit = (classes_edit.0, classes_edit.1);
        let description = write_description(&folder, apps_edit, classes_edit);
        generate(&description).unwrap_or_else(|report| panic!("{case}: {}", report.human()));
    }
    // Another order of the same proofs is no difference.
    let standard = "{ status = 503, header = \"X-Not-Processed\", value = \"1\" }";
    let standard_504 = standard.replace("503", "504");
    let reordered = format!(
        "[app.oficina.class.cobro-mensual]\nnever_ran = [{standard_504}, {standard}]\n\n[app.kiosko]"
    );
    let folder = TempFolder::new();
    let description = write_description(&folder, ("[app.kiosko]", &reordered), NO_EDIT);
    generate(&description).unwrap_or_else(|report| panic!("{}", report.human()));
}

/// Applications of different upstreams may have different proofs for a class: the endpoints are not the same.
#[test]
fn proofs_may_differ_between_upstreams() {
    let upstream = |name: &str, port: u16| {
        format!(
            "[upstream.{name}]\nendpoints = [{{ address = \"127.0.0.1:{port}\" }}]\nconnections = 76\nrate = 100\n\
             unsafe = [\"/charges\"]\nkeyed = []\n"
        )
    };
    let app = |name: &str, upstream: &str, port: u16| {
        format!(
            "[app.{name}]\nlisten = \"127.0.0.1:{port}\"\nupstream = \"{upstream}\"\nwaits = \"2s\"\nrate = 1\n\
             send = [{{ prefix = \"/charges\", methods = [\"POST\"], class = \"charge\" }}]\n"
        )
    };
    let description = |second_upstream: &str| {
        let class = "[class.charge]\naim = \"800ms\"\ndeadline = \"1500ms\"\neffect = \"unsafe\"\n";
        let own = "[app.b.class.charge]\nnever_ran = [{ status = 429, header = \"X-Shed\" }]\n";
        let (north, south) = (upstream("north", 9_001), upstream("south", 9_002));
        let (a, b) = (app("a", "north", 8_001), app("b", second_upstream, 8_002));
        [class, &north, &south, &a, &b, own].concat()
    };
    let folder = TempFolder::new();
    let different = folder.write("different.toml", &description("south"));
    generate(&different).unwrap_or_else(|report| panic!("{}", report.human()));
    let same = folder.write("same.toml", &description("north"));
    let report = generate(&same).expect_err("one upstream");
    assert!(
        report.findings.iter().any(|f| f.code == "class-differs"),
        "{}",
        report.human()
    );
}

#[test]
fn a_file_that_was_changed_by_hand_is_only_overwritten_with_force() {
    let folder = TempFolder::new();
    let description = write_description(&folder, NO_EDIT, NO_EDIT);
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
        output_text(&output)
    );
    assert!(!folder.0.join("out").exists());
    assert!(write(&[]).status.success());
    let before = folder.read("out/kiosko.toml");
    // Writing again without a change writes no file.
    assert!(text(&write(&[]).stdout).starts_with("0 of 6 files were written"));
    folder.write("out/kiosko.toml", &format!("{before}# by hand\n"));
    let output = write(&[]);
    assert!(
        output.status.code() == Some(1) && text(&output.stderr).contains("kiosko.toml"),
        "{}",
        output_text(&output)
    );
    assert!(folder.read("out/kiosko.toml").ends_with("# by hand\n"));
    let output = run(&["check", out]);
    assert!(
        output.status.success() && text(&output.stdout).contains("kiosko.toml was changed by hand"),
        "{}",
        output_text(&output)
    );
    let output = write(&["--dry-run", "--force"]);
    assert!(
        text(&output.stdout).contains("-# by hand"),
        "{}",
        output_text(&output)
    );
    assert!(write(&["--force"]).status.success());
    assert_eq!(folder.read("out/kiosko.toml"), before);
    // The file of a removed application is removed too, unless it was changed by hand. Other files stay.
    folder.write("out/notes.txt", "mine");
    let apps = folder.read("apps.toml");
    let without = apps
        .split("# The office reads")
        .next()
        .expect("the beginning");
    folder.write("apps.toml", without);
    folder.write("out/oficina.toml", "# by hand\n");
    assert_eq!(write(&[]).status.code(), Some(1));
    assert!(write(&["--force"]).status.success());
    assert!(!folder.0.join("out/oficina.toml").exists() && folder.0.join("out/notes.txt").exists());
    assert!(run(&["check", out]).status.success());
}

/// An error in a shared class is reported once, with the applications that it affects.
#[test]
fn an_error_in_a_shared_class_is_reported_once_for_two_hundred_applications() {
    let folder = TempFolder::new();
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
    folder.write("shared/classes.toml", CLASSES);
    let description = folder.write("apps.toml", &apps);
    let generated = generate(&description).unwrap_or_else(|r| panic!("{}", r.human()));
    assert_eq!(generated.files.len(), 201);
    folder.write(
        "shared/classes.toml",
        &CLASSES.replace("attempt = \"350ms\"", "attempt = \"700ms\""),
    );
    let report = generate(&description).expect_err("attempts that do not fit");
    // The attempts exceed the total, and the last one would start after the window: two findings, each reported once.
    assert!(report.findings.len() <= 2, "{}", report.human());
    assert!(report
        .findings
        .iter()
        .all(|f| f.apps.len() == 200 && report.files[f.location.file].0.ends_with("classes.toml")));
    assert!(
        report.human().contains("and 195 more applications"),
        "{}",
        report.human()
    );
    // Without the description, each generated file contains the error, and it is still reported once.
    let out = TempFolder::new();
    for (name, text) in &generated.files {
        out.write(
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

/// A last attempt that starts exactly at the end of the window is outside it, one that starts earlier is not.
#[test]
fn an_attempt_at_the_end_of_the_window_is_outside_it() {
    for (window, good) in [("1050ms", true), ("701ms", true), ("700ms", false)] {
        let folder = TempFolder::new();
        let description = write_description(
            &folder,
            NO_EDIT,
            ("window = \"1200ms\"", &format!("window = \"{window}\"")),
        );
        assert_eq!(generate(&description).is_ok(), good, "{window}");
    }
}

// Rollouts.

/// Checks the rollout from the example's files to the files of an edited description.
fn rollout(apps_edit: (&str, &str), classes_edit: (&str, &str)) -> Report {
    let folder = TempFolder::new();
    let description = write_description(&folder, apps_edit, classes_edit);
    let generated = generate(&description).unwrap_or_else(|r| panic!("{}", r.human()));
    generated
        .files
        .iter()
        .for_each(|(name, text)| drop(folder.write(&format!("new/{name}"), text)));
    check_against(
        &examples().join("cordillera/sidecars"),
        &folder.0.join("new"),
    )
}

#[test]
fn a_rollout_that_is_unsafe_while_old_and_new_files_are_in_use_is_reported() {
    let keyed = "effect = \"keyed\"\ngroup = \"group\"\nwindow = \"1200ms\"\nattempts = 3\nattempt = \"350ms\"\nsecond_copy = \"after 200ms\"";
    for (apps, classes, code) in [
        (("listen = \"127.0.0.1:8081\"", "listen = \"127.0.0.1:8091\""), NO_EDIT, "listener-moved"),
        (NO_EDIT, ("window = \"1200ms\"", "window = \"1100ms\""), "window-shrinks"),
        (("group = 3 },\n]", "group = 2 },\n]"), NO_EDIT, "group-moved"),
        (
            ("{ name = \"entries\", prefix = \"/registro-entrada\", methods = [\"POST\"], class = \"registro-entrada\" },\n]", "{ name = \"entries\", prefix = \"/registro-entrada\", methods = [\"POST\"], class = \"cobro-mensual\" },\n]"),
            NO_EDIT,
            "path-changed",
        ),
    ] {
        let report = rollout(apps, classes);
        assert!(count_by_code(&report).contains_key(code), "{code}\n{}", report.human());
    }
    // A class that changes from keyed to unsafe. Its second copies and the application's overrides have to go too.
    let folder = TempFolder::new();
    let apps = APPS.replace(
        "[app.torniquete.class.registro-entrada]\nsecond_copy = \"off\"\nattempts = 2\n",
        "",
    );
    folder.write("apps.toml", &apps);
    assert!(CLASSES.contains(keyed));
    folder.write(
        "shared/classes.toml",
        &CLASSES.replace(keyed, "effect = \"unsafe\""),
    );
    let generated =
        generate(&folder.0.join("apps.toml")).unwrap_or_else(|r| panic!("{}", r.human()));
    generated
        .files
        .iter()
        .for_each(|(name, text)| drop(folder.write(&format!("new/{name}"), text)));
    let report = check_against(
        &examples().join("cordillera/sidecars"),
        &folder.0.join("new"),
    );
    assert!(
        count_by_code(&report).contains_key("effect-changed"),
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
fn a_safe_rollout_has_notes_for_each_application() {
    let report = rollout(
        ("waits = \"1400ms\"", "waits = \"1450ms\""),
        ("attempt = \"350ms\"", "attempt = \"340ms\""),
    );
    assert!(report.is_clean(), "{}", report.human());
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
    let report = rollout(NO_EDIT, NO_EDIT);
    assert!(
        report.is_clean() && report.notes.is_empty(),
        "{}",
        report.human()
    );
    let report = rollout(("memory = \"32MiB\"", "memory = \"48MiB\""), NO_EDIT);
    assert!(
        report.is_clean() && report.human().contains("limits.memory changes"),
        "{}",
        report.human()
    );
}

// The command line.

#[test]
fn explain_shows_route_class_timing_and_reasons() {
    let folder = examples().join("cordillera/sidecars");
    let file = folder
        .join("tableta.toml")
        .to_str()
        .expect("a path")
        .to_owned();
    let explain =
        |arguments: &[&str]| output_text(&run(&[&["explain", &file], arguments].concat()));
    let entry = explain(&[
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
    assert!(explain(&["--request", "POST /registro-entrada"]).contains("never retried"));
    let other = explain(&["--request", "PUT /socios"]);
    assert!(
        other.contains("not \"members\": its methods") && other.contains("answered 404"),
        "{other}"
    );
    let timeline = explain(&["--class", "registro-entrada"]);
    for words in [
        "attempt 1 starts",
        "200ms  a second copy",
        "attempt 3 has ended",
        "the client gives up",
    ] {
        assert!(timeline.contains(words), "{words}\n{timeline}");
    }
    assert!(explain(&["--class", "registro"]).contains("did you mean \"registro-entrada\"?"));
    let json: serde_json::Value = serde_json::from_str(&explain(&[
        "--format",
        "json",
        "--request",
        "POST /cobro-mensual",
    ]))
    .expect("JSON");
    assert_eq!(json["class"][0], "cobro-mensual");
    let expressions = examples()
        .join("../deploy/expressions.example.toml")
        .to_str()
        .expect("a path")
        .to_owned();
    let arguments = [
        "explain",
        &expressions,
        "--request",
        "POST /visits",
        "--header",
        "X-Visit: 81",
        "--header",
        "X-Branch: CR-7",
    ];
    let explanation = output_text(&run(&arguments));
    for words in [
        "method in [\"POST\", \"PUT\"]  =  true",
        "header[\"x-visit\"]  =  \"81\"",
        "concat(header[\"x-branch\"], header[\"x-visit\"])  =  \"4:CR-72:81\"",
        "\"4:CR-72:81\", from expression concat",
    ] {
        assert!(explanation.contains(words), "{words}\n{explanation}");
    }
    let explanation = output_text(&run(&[
        "explain",
        &expressions,
        "--request",
        "POST /fees",
        "--header",
        "X-Branch: CR-7",
    ]));
    assert!(
        explanation.contains("not \"charges\": its condition, method == \"POST\""),
        "{explanation}"
    );
    assert_eq!(
        run(&["explain", &file, "--request", "POST"]).status.code(),
        Some(2)
    );
    assert_eq!(run(&["explain", &file]).status.code(), Some(2));
}

#[test]
fn findings_as_json_have_a_stable_format() {
    let folder = TempFolder::new();
    let description = write_description(
        &folder,
        ("listen = \"127.0.0.1:8082\"", "listen = \"127.0.0.1:8081\""),
        NO_EDIT,
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
fn init_write_and_check_succeed_in_sequence() {
    let folder = TempFolder::new();
    let (description, out) = (folder.0.join("apps.toml"), folder.0.join("sidecars"));
    let (description, out) = (
        description.to_str().expect("a path"),
        out.to_str().expect("a path"),
    );
    assert!(run(&["init", description]).status.success());
    assert_eq!(
        run(&["init", description]).status.code(),
        Some(1),
        "an existing file is not overwritten"
    );
    assert_eq!(text(&run(&["init", "-"]).stdout), folder.read("apps.toml"));
    let output = run(&["write", description, "--out", out]);
    assert!(output.status.success(), "{}", output_text(&output));
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
