//! A process with many hollow proxies: each is a task that runs the proxy's own sidecar code, with its own gossip peer,
//! policy client and endpoint list, and receives no calls. The process reads orders from standard input and writes to
//! standard output what each proxy admits. The log goes to standard error; the span of each line names its proxy.

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

/// Interval between two observations of what the proxies admit.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);

/// What a proxy admitted at each observation in this time span.
struct Observation {
    admits: Admits,
    from: u64,
    until: u64,
}

/// A running proxy.
struct Running {
    /// Stops the proxy; `None` once that was ordered.
    stop: Option<oneshot::Sender<()>>,
    task: AbortHandle,
    gate: Rc<RefCell<Option<Rc<AdmissionGate>>>>,
    observation: Option<Observation>,
}

/// All proxies of the process.
struct Proxies {
    /// Directory of the proxies' configuration files.
    config_dir: PathBuf,
    running: BTreeMap<String, Running>,
    ended: mpsc::UnboundedSender<(String, Result<(), String>)>,
}

/// Runs the process. The argument is the directory of the proxies' configuration files.
pub fn main(mut arguments: impl Iterator<Item = std::ffi::OsString>) -> ExitCode {
    let Some(config_dir) = arguments.next() else {
        eprintln!("badgerramp-sim: hollow proxies: directory of the configuration files missing");
        return ExitCode::from(2);
    };
    raise_descriptor_limit();
    match run(PathBuf::from(config_dir)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerramp-sim: hollow proxies: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(config_dir: PathBuf) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(config_dir))
}

/// Reads the orders from standard input, on its own thread as the reads block.
fn read_orders() -> mpsc::UnboundedReceiver<Order> {
    let (sender, receiver) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let order = match serde_json::from_str(&line) {
                Ok(order) => order,
                Err(error) => {
                    eprintln!("badgerramp-sim: hollow proxies: invalid order {line:?}: {error}");
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

async fn serve(config_dir: PathBuf) -> Result<(), String> {
    let mut sigterm = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut orders = read_orders();
    let (sender, mut ended) = mpsc::unbounded_channel();
    let mut proxies = Proxies {
        config_dir,
        running: BTreeMap::new(),
        ended: sender,
    };
    let mut observations = tokio::time::interval(OBSERVATION_INTERVAL);
    loop {
        tokio::select! {
            _ = sigterm.recv() => break,
            order = orders.recv() => match order {
                Some(order) => proxies.execute(order)?,
                // The process that gives orders has ended.
                None => break,
            },
            Some((name, result)) = ended.recv() => proxies.proxy_ended(&name, result),
            _ = observations.tick(), if !proxies.running.is_empty() => proxies.observe(),
        }
    }
    Ok(())
}

/// Writes an event to standard output.
fn report(event: &Event) {
    if let Ok(line) = serde_json::to_string(event) {
        // The reader may be gone at the end of a trial.
        let _ = writeln!(std::io::stdout(), "{line}");
    }
}

impl Proxies {
    fn execute(&mut self, order: Order) -> Result<(), String> {
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
                    proxy.observe(&name);
                    proxy.report_observation(&name);
                    proxy.task.abort();
                }
            }
            Order::ReportAdmissions => {
                for (name, proxy) in &mut self.running {
                    proxy.observe(name);
                    proxy.report_observation(name);
                }
                report(&Event::AdmissionsReported);
            }
        }
        Ok(())
    }

    fn start(&mut self, name: String) -> Result<(), String> {
        let path = self.config_dir.join(format!("{name}.toml"));
        let (stop, stop_ordered) = oneshot::channel();
        let gate = Rc::new(RefCell::new(None));
        let proxy = serve_proxy(path, stop_ordered, Rc::clone(&gate));
        let span = tracing::info_span!(target: "badgerramp", "proxy", proxy = name.as_str());
        let (ended, own) = (self.ended.clone(), name.clone());
        let task = async move {
            let result = proxy.await;
            let _ = ended.send((own, result));
        };
        let task = tokio::task::spawn_local(task.instrument(span)).abort_handle();
        self.running.insert(
            name,
            Running {
                stop: Some(stop),
                task,
                gate,
                observation: None,
            },
        );
        Ok(())
    }

    fn proxy_ended(&mut self, name: &str, result: Result<(), String>) {
        let Some(proxy) = self.running.remove(name) else {
            return;
        };
        proxy.report_observation(name);
        let why = match result {
            // The proxy ended because it was ordered to.
            Ok(()) if proxy.stop.is_none() => {
                return report(&Event::Stopped {
                    proxy: name.to_owned(),
                })
            }
            Ok(()) => "the proxy ended without an order to stop".to_owned(),
            Err(error) => error,
        };
        report(&Event::Ended {
            proxy: name.to_owned(),
            why,
        });
    }

    fn observe(&mut self) {
        for (name, proxy) in &mut self.running {
            proxy.observe(name);
        }
    }
}

impl Running {
    /// Observes what the proxy admits. If that has changed, reports the earlier observation.
    fn observe(&mut self, name: &str) {
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
        match &mut self.observation {
            Some(observation) if observation.admits == admits => observation.until = now,
            _ => {
                self.report_observation(name);
                self.observation = Some(Observation {
                    admits,
                    from: now,
                    until: now,
                });
            }
        }
    }

    /// Reports the current observation, if there is one.
    fn report_observation(&self, name: &str) {
        let Some(Observation {
            admits,
            from,
            until,
        }) = &self.observation
        else {
            return;
        };
        report(&Event::Admitted {
            proxy: name.to_owned(),
            admits: *admits,
            from: *from,
            until: *until,
        });
    }
}

/// Runs one proxy in its own task set. The caller's span applies to all of its tasks, so that each line of the log names the
/// proxy, and the tasks end together with this one.
async fn serve_proxy(
    path: PathBuf,
    stop_ordered: oneshot::Receiver<()>,
    gate: Rc<RefCell<Option<Rc<AdmissionGate>>>>,
) -> Result<(), String> {
    start_log(&path)?;
    let stop = async move {
        let _ = stop_ordered.await;
    };
    let tasks = LocalSet::new();
    let served = sidecar::serve(&path, stop, move |own| *gate.borrow_mut() = Some(own));
    tasks
        .run_until(served)
        .await
        .map_err(|error| format!("{error:?}"))
}

/// Starts the log with the settings of this proxy's file. Only the first call has an effect; all files have the same
/// settings.
fn start_log(path: &Path) -> Result<(), String> {
    let config =
        badgerramp_config::load(path).map_err(|diagnostics| diagnostics.to_single_line())?;
    badgerramp::log::start(&config.log);
    Ok(())
}
