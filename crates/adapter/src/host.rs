//! The balancer instances of this process and the endpoint lists that they share.

use crate::error::AdapterError;
use crate::instance::Instance;
use crate::wire::{self, Batch, Element, Input, Reply};
use badgerramp_decisions::settings;
use badgerramp_decisions::{Action, EndpointEntry, EndpointId, Event, ListUpdateKind, Micros};
use std::collections::HashMap;

/// The balancer instances and the endpoint lists, each by number.
#[derive(Default)]
pub(crate) struct InstanceHost {
    instances: HashMap<i64, Instance>,
    lists: HashMap<i64, Vec<Element>>,
    /// A buffer that is reused for the actions of each event.
    actions: Vec<Action>,
}

impl InstanceHost {
    /// Handles one line of input and returns the line of the reply.
    ///
    /// # Errors
    ///
    /// Fails if the line is not a valid batch, or if an event lacks a field or refers to something
    /// unknown.
    pub(crate) fn handle_line(&mut self, line: &str) -> Result<String, AdapterError> {
        let batch: Batch<'_> = serde_json::from_str(line).map_err(AdapterError::MalformedBatch)?;
        let mut reply = Reply {
            cmds: Vec::with_capacity(batch.input.len()),
        };
        for input in batch.input {
            self.handle_input(batch.clock_us, input, &mut reply)?;
        }
        serde_json::to_string(&reply).map_err(AdapterError::EncodeReply)
    }

    fn handle_input(
        &mut self,
        now: Micros,
        mut input: Input<'_>,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        if input.verb == wire::LIST {
            let list = input.require(input.roster_id, "roster_id")?;
            self.lists.insert(list, input.elements.unwrap_or_default());
            return Ok(());
        }
        let proxy = input.require(input.proxy, "proxy")?;
        if input.verb == wire::CREATE {
            let instance = create(proxy, &mut input)?;
            self.instances.insert(proxy, instance);
        } else if input.verb == wire::DETACH {
            self.instances.remove(&proxy);
            return Ok(());
        }
        let unknown = || AdapterError::UnknownInstance {
            verb: input.verb.to_string(),
            proxy,
        };
        let instance = self.instances.get_mut(&proxy).ok_or_else(unknown)?;
        let mut call = None;
        let event = match input.verb.as_ref() {
            wire::CREATE => Event::Start,
            wire::LIST_UPDATE => list_update(&self.lists, &input)?,
            wire::TIMER => Event::Timer,
            wire::PROBE_COMPLETED => probe_completed(&input)?,
            wire::PEER_MESSAGE => return Ok(()),
            wire::REQUEST | wire::OUTCOME | wire::STREAMING | wire::CLIENT_DISCONNECTED => {
                let Some(id) = instance.call(&input)? else {
                    return Ok(());
                };
                call = Some(id);
                match input.verb.as_ref() {
                    wire::REQUEST => instance.request(id, &input)?,
                    wire::OUTCOME => instance.outcome(id, &input)?,
                    wire::STREAMING => Event::Streaming {
                        call: id,
                        attempt: input.require(input.seq_no, "seq_no")?,
                    },
                    _ => instance.client_disconnected(id),
                }
            }
            other => return Err(AdapterError::UnknownVerb(other.to_owned())),
        };
        instance.handle(now, event, &mut self.actions, &mut reply.cmds);
        if let Some(id) = call {
            instance.remove_if_finished(id);
        }
        Ok(())
    }
}

fn create(proxy: i64, input: &mut Input<'_>) -> Result<Instance, AdapterError> {
    let facts = input.facts.take();
    let facts = input.require(facts, "facts")?;
    let seed = input.require(input.seed, "seed")?;
    let platform = settings::read(&facts).map_err(AdapterError::Settings)?;
    Ok(Instance::new(proxy, seed, platform))
}

fn list_update(
    lists: &HashMap<i64, Vec<Element>>,
    input: &Input<'_>,
) -> Result<Event, AdapterError> {
    let kind = match input.require(input.scope, "scope")? {
        0 => ListUpdateKind::Failed,
        1 => ListUpdateKind::Cached,
        2 => ListUpdateKind::Delta,
        3 => ListUpdateKind::Full,
        other => return Err(AdapterError::UnknownScope(other)),
    };
    let entries = if kind == ListUpdateKind::Failed {
        Vec::new()
    } else {
        entries(lists, input)?
    };
    Ok(Event::EndpointList { kind, entries })
}

fn entries(
    lists: &HashMap<i64, Vec<Element>>,
    input: &Input<'_>,
) -> Result<Vec<EndpointEntry>, AdapterError> {
    let list = input.require(input.roster_id, "roster_id")?;
    let elements = lists.get(&list).ok_or(AdapterError::UnknownList(list))?;
    elements.iter().map(Element::entry).collect()
}

fn probe_completed(input: &Input<'_>) -> Result<Event, AdapterError> {
    Ok(Event::ProbeCompleted {
        endpoint: EndpointId(input.require(input.host, "host")?),
        outcome: wire::outcome(input.require(input.result.as_deref(), "result")?),
        elapsed: input.elapsed_us.unwrap_or(0),
        load: input.load(),
    })
}
