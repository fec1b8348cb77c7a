//! Many client proxies as tasks of one process: each runs the program's own sidecar with its own peers, policy client and
//! list, and takes no calls. Orders come on standard input, what each proxy admits goes to standard output, and the log,
//! in which each line has its proxy's name in a span, to standard error.

use badgerramp::net::admission_gate::AdmissionGate;
use badgerramp::sidecar;
use badgerramp_fault_injection::now;
use badgerramp_fault_injection::process::raise_descriptor_limit;
use badgerramp_fault_injection::scale::hollow::{Admits, Event, Order};
use badgerramp_policy::Admission;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, LocalSet};
use tracing::Instrument;

/// Between two looks at what each proxy admits.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What a proxy was last seen to admit.
struct Seen {
    admits: Admits,
    from: u64,
    until: u64,
}

/// A proxy that runs.
struct Running {
    stop: Option<oneshot::Sender<()>>,
    task: AbortHandle,
    gate: Rc<RefCell<Option<Rc<AdmissionGate>>>>,
    seen: Option<Seen>,
}

/// All proxies of the process.
struct Proxies {
    folder: PathBuf,
    running: BTreeMap<String, Running>,
    ended: mpsc::UnboundedSender<(String, Result<(), String>)>,
}

/// Runs the process: the argument is the folder of the proxies' files.
pub fn main(mut arguments: impl Iterator<Item = std::ffi::OsString>) -> ExitCode {
    let Some(folder) = arguments.next() else {
        eprintln!("badgerramp-sim: hollow proxies: no folder");
        return ExitCode::from(2);
    };
    raise_descriptor_limit();
    match run(PathBuf::from(folder)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("badgerramp-sim: hollow proxies: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn run(folder: PathBuf) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(folder))
}

/// Reads orders on a thread of its own: standard input can't be waited for otherwise.
fn orders() -> mpsc::UnboundedReceiver<Order> {
    let (sender, receiver) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let order = match serde_json::from_str(&line) {
                Ok(order) => order,
                Err(fault) => {
                    eprintln!("badgerramp-sim: hollow proxies: {line:?}: {fault}");
                    continue;
                }
            };
            if sender.send(order).is_err() {
                return;
            }
        }
    });
    receiver
}

async fn serve(folder: PathBuf) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut orders = orders();
    let (sender, mut ended) = mpsc::unbounded_channel();
    let mut proxies = Proxies {
        folder,
        running: BTreeMap::new(),
        ended: sender,
    };
    let mut looks = tokio::time::interval(LOOK_EVERY);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            order = orders.recv() => match order {
                Some(order) => proxies.obey(order)?,
                // Whoever gave orders has gone.
                None => break,
            },
            Some((name, result)) = ended.recv() => proxies.has_ended(&name, result),
            _ = looks.tick(), if !proxies.running.is_empty() => proxies.look(),
        }
    }
    Ok(())
}

fn tell(event: &Event) {
    if let Ok(line) = serde_json::to_string(event) {
        // Nobody listens at the end of the trial.
        let _ = writeln!(std::io::stdout(), "{line}");
    }
}

impl Proxies {
    fn obey(&mut self, order: Order) -> Result<(), String> {
        match order {
            Order::Start(name) => self.start(name)?,
            Order::End(name) => {
                if let Some(stop) = self
                    .running
                    .get_mut(&name)
                    .and_then(|proxy| proxy.stop.take())
                {
                    let _ = stop.send(());
                }
            }
            Order::Kill(name) => {
                if let Some(mut proxy) = self.running.remove(&name) {
                    proxy.look(&name);
                    proxy.tell_seen(&name);
                    proxy.task.abort();
                }
            }
            Order::ReportAdmissions => {
                for (name, proxy) in &mut self.running {
                    proxy.look(name);
                    proxy.tell_seen(name);
                }
                tell(&Event::AdmissionsReported);
            }
        }
        Ok(())
    }

    fn start(&mut self, name: String) -> Result<(), String> {
        let path = self.folder.join(format!("{name}.toml"));
        let (stop, stopped) = oneshot::channel();
        let gate = Rc::new(RefCell::new(None));
        let served = serve_proxy(path, stopped, Rc::clone(&gate));
        let span = tracing::info_span!(target: "badgerramp", "proxy", proxy = name.as_str());
        let (ended, own) = (self.ended.clone(), name.clone());
        let task = async move {
            let result = served.await;
            let _ = ended.send((own, result));
        };
        let task = tokio::task::spawn_local(task.instrument(span)).abort_handle();
        self.running.insert(
            name,
            Running {
                stop: Some(stop),
                task,
                gate,
                seen: None,
            },
        );
        Ok(())
    }

    fn has_ended(&mut self, name: &str, result: Result<(), String>) {
        let Some(proxy) = self.running.remove(name) else {
            return;
        };
        proxy.tell_seen(name);
        let why = match result {
            // It was told to.
            Ok(()) if proxy.stop.is_none() => {
                return tell(&Event::Stopped {
                    proxy: name.to_owned(),
                })
            }
            Ok(()) => "it ended without being told to".to_owned(),
            Err(fault) => fault,
        };
        tell(&Event::Ended {
            proxy: name.to_owned(),
            why,
        });
    }

    fn look(&mut self) {
        for (name, proxy) in &mut self.running {
            proxy.look(name);
        }
    }
}

impl Running {
    /// Looks at what it admits; tells of what it admitted before, if that was something else.
    fn look(&mut self, name: &str) {
        let now = now();
        let admission = self
            .gate
            .borrow()
            .as_ref()
            .map(|gate| gate.holder().borrow().admission(now));
        let admits = match admission {
            Some(Admission::Under(mode)) => Admits::Under {
                old: mode.old.0,
                new: mode.new.0,
            },
            Some(Admission::Fallback(_) | Admission::Denied(_)) | None => Admits::Nothing,
        };
        match &mut self.seen {
            Some(seen) if seen.admits == admits => seen.until = now,
            _ => {
                self.tell_seen(name);
                self.seen = Some(Seen {
                    admits,
                    from: now,
                    until: now,
                });
            }
        }
    }

    fn tell_seen(&self, name: &str) {
        let Some(Seen {
            admits,
            from,
            until,
        }) = &self.seen
        else {
            return;
        };
        tell(&Event::Admitted {
            proxy: name.to_owned(),
            admits: *admits,
            from: *from,
            until: *until,
        });
    }
}

/// Runs one proxy in a set of tasks of its own: the caller's span is round all of them, so that each line of the log tells
/// which proxy it is of, and they end with it.
async fn serve_proxy(
    path: PathBuf,
    stopped: oneshot::Receiver<()>,
    gate: Rc<RefCell<Option<Rc<AdmissionGate>>>>,
) -> Result<(), String> {
    start_log(&path)?;
    let stop = async move {
        let _ = stopped.await;
    };
    let tasks = LocalSet::new();
    let served = sidecar::serve(&path, stop, move |own| *gate.borrow_mut() = Some(own));
    tasks
        .run_until(served)
        .await
        .map_err(|fault| format!("{fault:?}"))
}

/// Only the first proxy's counts: all files say the same of it.
fn start_log(path: &Path) -> Result<(), String> {
    let config = badgerramp_config::load(path).map_err(|mistakes| mistakes.to_single_line())?;
    badgerramp::log::start(&config.log);
    Ok(())
}
