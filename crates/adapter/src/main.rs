//! Hosts balancers on the bench's wire: one JSON batch a line in, one JSON reply a line out. Decides nothing.
#![forbid(unsafe_code)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

mod wire;

use badgerramp_decisions::settings;
use badgerramp_decisions::{
    Action, Balancer, CallId, CallPolicy, ClassId, EndpointEntry, EndpointId, Event,
    ListUpdateKind, Outcome, TenantId,
};
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use wire::{Batch, Command, Input, Reply};

/// A call of an instance under its name on the wire.
struct Name {
    word: String,
    out: u32,
    ended: bool,
}

/// One instance: its balancer and the names that the wire uses for what the balancer numbers.
struct Instance {
    balancer: Balancer,
    classes: Vec<String>,
    tenants: Vec<String>,
    numbers: HashMap<String, CallId>,
    names: HashMap<CallId, Name>,
    next: u64,
}

impl Instance {
    fn number(&mut self, word: &str) -> CallId {
        if let Some(&id) = self.numbers.get(word) {
            return id;
        }
        let id = CallId(self.next);
        self.next += 1;
        self.numbers.insert(word.to_owned(), id);
        self.names.insert(
            id,
            Name {
                word: word.to_owned(),
                out: 0,
                ended: false,
            },
        );
        id
    }

    /// Forgets a call once it has ended and none of its attempts is out.
    fn tidy(&mut self, id: CallId) {
        if self.names.get(&id).is_some_and(|n| n.ended && n.out == 0) {
            if let Some(name) = self.names.remove(&id) {
                self.numbers.remove(&name.word);
            }
        }
    }
}

/// All instances of this process, the lists, and the zones' numbers.
#[derive(Default)]
struct Host {
    instances: HashMap<i64, Instance>,
    lists: HashMap<i64, Vec<wire::Element>>,
    actions: Vec<Action>,
}

fn need<T>(value: Option<T>, verb: &str, field: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("{verb} without {field}"))
}

impl Host {
    fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch<'_> =
            serde_json::from_str(line).map_err(|e| format!("not a batch: {e}"))?;
        let mut reply = Reply {
            cmds: Vec::with_capacity(batch.input.len()),
        };
        for input in batch.input {
            self.input(batch.clock_us, input, &mut reply)?;
        }
        serde_json::to_string(&reply).map_err(|e| format!("no reply: {e}"))
    }

    fn input(&mut self, now: u64, input: Input<'_>, reply: &mut Reply) -> Result<(), String> {
        let verb = input.verb.as_ref();
        if verb == "POOL" {
            let list = need(input.roster_id, verb, "roster_id")?;
            self.lists.insert(list, input.elements.unwrap_or_default());
            return Ok(());
        }
        let proxy = need(input.proxy, verb, "proxy")?;
        if verb == "CREATE" {
            let facts = need(input.facts, verb, "facts")?;
            let seed = need(input.seed, verb, "seed")?;
            let facts = settings::read(&facts).map_err(|e| format!("facts: {e}"))?;
            let balancer = Balancer::new(seed, facts.settings);
            let (numbers, names) = (HashMap::new(), HashMap::new());
            let (classes, tenants) = (facts.classes, facts.tenants);
            let instance = Instance {
                balancer,
                classes,
                tenants,
                numbers,
                names,
                next: 0,
            };
            self.instances.insert(proxy, instance);
        } else if verb == "DETACH" {
            self.instances.remove(&proxy);
            return Ok(());
        }
        let instance = self
            .instances
            .get_mut(&proxy)
            .ok_or_else(|| format!("{verb} for unknown proxy {proxy}"))?;
        let mut touched = None;
        let event = match verb {
            "CREATE" => Event::Start,
            "MEMBERS" => {
                let kind = match need(input.scope, verb, "scope")? {
                    0 => ListUpdateKind::Failed,
                    1 => ListUpdateKind::Cached,
                    2 => ListUpdateKind::Delta,
                    3 => ListUpdateKind::Full,
                    other => return Err(format!("MEMBERS with unknown scope {other}")),
                };
                let entries: Vec<EndpointEntry> = match kind {
                    ListUpdateKind::Failed => Vec::new(),
                    _ => {
                        let list = need(input.roster_id, verb, "roster_id")?;
                        let list = self
                            .lists
                            .get(&list)
                            .ok_or_else(|| format!("MEMBERS of unknown list {list}"))?;
                        list.iter()
                            .map(wire::Element::entry)
                            .collect::<Result<_, _>>()?
                    }
                };
                Event::EndpointList { kind, entries }
            }
            "ALARM" => Event::Timer,
            "PROBED" => Event::ProbeCompleted {
                endpoint: EndpointId(need(input.host, verb, "host")?),
                outcome: wire::outcome(&need(input.result, verb, "result")?),
                elapsed: input.elapsed_us.unwrap_or(0),
                load: input.stats.map(|s| s.load()).unwrap_or_default(),
            },
            "WHISPER" => return Ok(()),
            "JOB_IN" | "DONE" | "UNDER_WAY" | "CANCELLED_BY_CLIENT" => {
                let word = need(input.call, verb, "call")?;
                if verb != "JOB_IN" && !instance.numbers.contains_key(word.as_ref()) {
                    return Ok(());
                }
                let call = instance.number(&word);
                touched = Some(call);
                match verb {
                    "JOB_IN" => {
                        let class = need(input.tier_class, verb, "tier_class")?;
                        let place = |all: &[String], name: &str| all.iter().position(|n| n == name);
                        Event::Request {
                            call,
                            class: ClassId(place(&instance.classes, &class).unwrap_or(usize::MAX)),
                            tenant: input
                                .user_group
                                .and_then(|t| place(&instance.tenants, &t))
                                .map(TenantId),
                            time_left: need(input.time_budget_us, verb, "time_budget_us")?,
                            is_retry: input.resent,
                            policy: CallPolicy::default(),
                        }
                    }
                    "DONE" => {
                        let outcome: Outcome = wire::outcome(&need(input.result, verb, "result")?);
                        if let Some(name) = instance.names.get_mut(&call) {
                            name.out = name.out.saturating_sub(1);
                            name.ended |= input.terminal;
                        }
                        Event::Outcome {
                            call,
                            attempt: need(input.seq_no, verb, "seq_no")?,
                            outcome,
                            elapsed: input.elapsed_us.unwrap_or(0),
                            closed: input.terminal,
                            load: input.stats.map(|s| s.load()).unwrap_or_default(),
                        }
                    }
                    "UNDER_WAY" => Event::Streaming {
                        call,
                        attempt: need(input.seq_no, verb, "seq_no")?,
                    },
                    _ => {
                        if let Some(name) = instance.names.get_mut(&call) {
                            name.ended = true;
                        }
                        Event::ClientGone { call }
                    }
                }
            }
            other => return Err(format!("unknown verb {other}")),
        };
        instance.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Some(command) = command(proxy, instance, action) {
                reply.cmds.push(command);
            }
        }
        if let Some(call) = touched {
            instance.tidy(call);
        }
        Ok(())
    }
}

/// The wire's form of an action, with the names put back.
fn command(proxy: i64, instance: &mut Instance, action: Action) -> Option<Command> {
    let word = |id: CallId, names: &HashMap<CallId, Name>| names.get(&id).map(|n| n.word.clone());
    Some(match action {
        Action::Send {
            call,
            endpoint: server,
            attempt_deadline: until,
            ..
        } => {
            let name = instance.names.get_mut(&call)?;
            name.out += 1;
            Command::Route {
                proxy,
                call: name.word.clone(),
                host: server.0,
                stop_at_us: until,
            }
        }
        Action::Reject { call, retry_after } => {
            let name = instance.names.get_mut(&call)?;
            name.ended = true;
            let command = Command::Bounce {
                proxy,
                call: name.word.clone(),
                hold_off_us: retry_after,
            };
            instance.tidy(call);
            command
        }
        Action::Fail { call } => {
            let name = instance.names.get_mut(&call)?;
            name.ended = true;
            let command = Command::DropRequest {
                proxy,
                call: name.word.clone(),
            };
            instance.tidy(call);
            command
        }
        Action::Cancel { call, attempt } => Command::DropAttempt {
            proxy,
            call: word(call, &instance.names)?,
            seq_no: attempt,
        },
        Action::Probe { endpoint: server } => Command::Test {
            proxy,
            host: server.0,
        },
        Action::Wake { after } => Command::SetAlarm {
            proxy,
            offset_us: after,
            tag: 0,
        },
        Action::Subscribe => Command::Listen {
            proxy,
            enable: true,
        },
        Action::Log { text } => Command::Trace {
            proxy,
            note_text: text,
        },
    })
}

fn main() {
    let mut host = Host::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let answer = line
            .map_err(|e| format!("unreadable: {e}"))
            .and_then(|line| host.batch(&line));
        match answer {
            Ok(reply) => {
                if writeln!(output, "{reply}")
                    .and_then(|()| output.flush())
                    .is_err()
                {
                    std::process::exit(1);
                }
            }
            Err(fault) => {
                eprintln!("badgerramp-adapter: line {}: {fault}", index + 1);
                std::process::exit(1);
            }
        }
    }
}
