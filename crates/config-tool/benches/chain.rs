//! What writing and checking cost with 5, 200 and 2,000 applications: time on one core, and the most memory held. Each
//! size runs in a process of its own, as memory is told for a whole process.

use badgerramp_config_tool::commands::{carry_out, check, compose, plan};
use std::path::Path;
use std::process::Command;
use std::time::Instant;

const SIZES: [usize; 3] = [5, 200, 2_000];
const SIZE: &str = "BADGERRAMP_BENCH_APPLICATIONS";
const RUNS: usize = 5;

const CLASSES: &str = include_str!("../../../examples/cordillera/shared/classes.toml");

/// Applications that send entries, charges and look-ups, half of them with timing of their own.
fn description(count: usize) -> String {
    let mut text = "include = [\"classes.toml\"]\n[upstream.access]\nendpoints = [\n".to_owned();
    for n in 0..40 {
        text += &format!(
            "    {{ name = \"n-{n}\", address = \"127.0.0.1:{}\", group = {} }},\n",
            9_000 + n,
            n / 4 + 1
        );
    }
    text += "]\nconnections = 100000\nrate = 10000\nunsafe = [\"/cobro-mensual\"]\nkeyed = [{ prefix = \"/registro-entrada\", \
        group = \"group\", window = \"1200ms\", header = \"Idempotency-Key\" }]\n";
    for n in 0..count {
        text += &format!(
            "[app.kiosk-{n}]\nlisten = \"127.0.0.1:{}\"\nupstream = \"access\"\nwaits = \"1400ms\"\nrate = 2\nsend = [\n\
             {{ prefix = \"/registro-entrada\", methods = [\"POST\"], class = \"registro-entrada\" }},\n\
             {{ prefix = \"/cobro-mensual\", methods = [\"POST\"], class = \"cobro-mensual\" }},\n\
             {{ prefix = \"/socios\", methods = [\"GET\"], class = \"consulta\" }},\n]\n",
            10_000 + n
        );
        if n % 2 == 0 {
            text += &format!(
                "[app.kiosk-{n}.class.registro-entrada]\nattempts = 2\nattempt = \"400ms\"\n"
            );
        }
    }
    text
}

fn milliseconds(mut run: impl FnMut()) -> f64 {
    let times = (0..RUNS).map(|_| {
        let started = Instant::now();
        run();
        started.elapsed().as_secs_f64() * 1e3
    });
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

fn measure(count: usize, folder: &Path) {
    std::fs::create_dir_all(folder).expect("a folder");
    std::fs::write(folder.join("classes.toml"), CLASSES).expect("a file");
    std::fs::write(folder.join("apps.toml"), description(count)).expect("a file");
    let (apps, out) = (folder.join("apps.toml"), folder.join("out"));
    let composed =
        milliseconds(|| drop(compose(&apps).unwrap_or_else(|r| panic!("{}", r.human()))));
    let written = compose(&apps).unwrap_or_else(|r| panic!("{}", r.human()));
    carry_out(&plan(&written, &out), &out).expect("a disk");
    drop(written);
    let checked = milliseconds(|| {
        let (report, set) = check(&[&out]);
        assert!(
            report.good() && set.applications.len() == count,
            "{}",
            report.human()
        );
    });
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let most = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .map_or("not told here", str::trim);
    println!("{count:>12} {composed:>14.1} {checked:>14.1} {most:>16}");
}

fn main() {
    if let Some(count) = std::env::var(SIZE).ok().and_then(|v| v.parse().ok()) {
        let folder = std::env::temp_dir().join(format!("badgerramp-chain-{}", std::process::id()));
        measure(count, &folder);
        let _ = std::fs::remove_dir_all(folder);
        return;
    }
    println!(
        "{:>12} {:>14} {:>14} {:>16}",
        "applications", "compose, ms", "check, ms", "most memory"
    );
    for size in SIZES {
        let own = std::env::current_exe().expect("this program's path");
        let done = Command::new(own)
            .env(SIZE, size.to_string())
            .status()
            .expect("it starts");
        assert!(done.success(), "{size} applications");
    }
}
