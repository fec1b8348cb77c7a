//! Benchmark of generating and checking the files of 5, 200 and 2,000 applications: time on one core and peak memory. Each
//! size runs in its own process because peak memory is only known per process.

use badgerramp_config_tool::commands::{apply, check, generate, plan};
use std::path::Path;
use std::process::Command;
use std::time::Instant;

/// Numbers of applications.
const SIZES: [usize; 3] = [5, 200, 2_000];
/// Environment variable with the number of applications for a child process.
const SIZE_VARIABLE: &str = "BADGERRAMP_BENCH_APPLICATIONS";
/// Runs of each operation, of which the median is reported.
const RUNS: usize = 5;

const CLASSES: &str = include_str!("../../../examples/cordillera/shared/classes.toml");

/// A description of applications with keyed, unsafe and safe requests, half of which override a class's timing.
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

/// The median duration of several runs, in milliseconds.
fn median_milliseconds(mut run: impl FnMut()) -> f64 {
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
    let generate_time =
        median_milliseconds(|| drop(generate(&apps).unwrap_or_else(|r| panic!("{}", r.human()))));
    let generated = generate(&apps).unwrap_or_else(|r| panic!("{}", r.human()));
    apply(&plan(&generated, &out), &out).expect("files are written");
    drop(generated);
    let check_time = median_milliseconds(|| {
        let (report, set) = check(&[&out]);
        assert!(
            report.is_clean() && set.applications.len() == count,
            "{}",
            report.human()
        );
    });
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak_memory = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .map_or("unknown", str::trim);
    println!("{count:>12} {generate_time:>14.1} {check_time:>14.1} {peak_memory:>16}");
}

fn main() {
    if let Some(count) = std::env::var(SIZE_VARIABLE)
        .ok()
        .and_then(|v| v.parse().ok())
    {
        let folder = std::env::temp_dir().join(format!("badgerramp-chain-{}", std::process::id()));
        measure(count, &folder);
        let _ = std::fs::remove_dir_all(folder);
        return;
    }
    println!(
        "{:>12} {:>14} {:>14} {:>16}",
        "applications", "generate, ms", "check, ms", "peak memory"
    );
    for size in SIZES {
        let program = std::env::current_exe().expect("the path of this program");
        let status = Command::new(program)
            .env(SIZE_VARIABLE, size.to_string())
            .status()
            .expect("the child process starts");
        assert!(status.success(), "{size} applications");
    }
}
