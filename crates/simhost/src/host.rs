//! The instances of this process, and the records that reach them.

use crate::wire::{records, BatchHead, Fields, Raw, Reply, WireError};
use opalpulley::{
    Action, EndpointEntry, EndpointListUpdate, Event, Forwarder, MessageId, Micros, TimerToken,
};
use std::collections::BTreeMap;

const LISTS: u32 = 16;

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Forwarder>,
    lists: BTreeMap<u32, Vec<EndpointEntry>>,
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    /// Plays one batch and gives the frame that answers it.
    pub fn answer(&mut self, head: BatchHead, body: &[u8]) -> Result<Vec<u8>, WireError> {
        self.reply.clear();
        for raw in records(head, body)? {
            self.record(head.clock, &raw)?;
        }
        self.reply.frame(head.number)
    }

    fn record(&mut self, now: Micros, raw: &Raw) -> Result<(), WireError> {
        let code = raw.code;
        let Some(name) = name_of(code) else {
            return Ok(());
        };
        let mut fields = Fields::new(name, raw.offset, raw.fields);
        if code == 11 {
            let number = fields.u32()?;
            if number >= LISTS {
                return Err(fields.bad(format!("there is no list {number}")));
            }
            let entries = fields.listings()?;
            self.lists.insert(number, entries);
            return Ok(());
        }
        let instance = fields.u16()?;
        if code == 10 {
            let seed = fields.u64()?;
            let n = fields.u32()? as usize;
            let config = opalpulley_config::read(fields.take(n)?)
                .map(|w| w.config)
                .map_err(|e| fields.bad(e))?;
            self.instances
                .insert(instance, Forwarder::new(config, seed));
            return Ok(());
        }
        if !self.instances.contains_key(&instance) {
            return Err(fields.bad(format!("instance {instance} was never started")));
        }
        let event = match code {
            5 => {
                self.instances.remove(&instance);
                return Ok(());
            }
            1 => Event::EndpointList(self.list_news(&mut fields)?),
            9 => Event::Submitted(fields.arrival()?),
            7 => Event::AttemptStarted {
                id: MessageId(fields.u32()?),
                attempt: fields.u8()?,
                endpoint: fields.endpoint()?,
                took: fields.u32()?.into(),
            },
            8 => Event::Withdrawn {
                id: MessageId(fields.u32()?),
            },
            3 => Event::TimerFired {
                token: TimerToken(fields.u32()?),
            },
            6 => {
                let from = fields.u16()?;
                let n = fields.u16()?;
                Event::Gossip {
                    from,
                    payload: fields.take(n.into())?.to_vec(),
                }
            }
            2 => {
                let endpoint = fields.endpoint()?;
                let status = fields.u16()?;
                Event::HealthCheckEnded {
                    endpoint,
                    outcome: fields.outcome(status, 0)?,
                    took: fields.u32()?.into(),
                    report: fields.report()?,
                }
            }
            _ => attempt_ended(&mut fields)?,
        };
        if let Some(forwarder) = self.instances.get_mut(&instance) {
            forwarder.handle(now, event, &mut self.actions);
        }
        for action in self.actions.drain(..) {
            self.reply.push(instance, &action)?;
        }
        Ok(())
    }

    fn list_news(&self, fields: &mut Fields) -> Result<EndpointListUpdate, WireError> {
        let number = fields.u32()?;
        let kind = fields.u8()?;
        let entries = || {
            self.lists
                .get(&number)
                .cloned()
                .ok_or_else(|| fields.bad(format!("list {number} was never registered")))
        };
        match kind {
            1 => Ok(EndpointListUpdate::Failed),
            2 => Ok(EndpointListUpdate::Cached(entries()?)),
            3 => Ok(EndpointListUpdate::Complete(entries()?)),
            4 => Ok(EndpointListUpdate::Changes(entries()?)),
            other => Err(fields.bad(format!("no list has the kind {other}"))),
        }
    }
}

fn attempt_ended(fields: &mut Fields) -> Result<Event, WireError> {
    let id = MessageId(fields.u32()?);
    let attempt = fields.u8()?;
    let endpoint = fields.endpoint()?;
    let status = fields.u16()?;
    let took = fields.u32()?.into();
    let closed = fields.u8()? != 0;
    let remark = fields.u32()?;
    let outcome = fields.outcome(status, remark)?;
    Ok(Event::AttemptEnded {
        id,
        attempt,
        endpoint,
        outcome,
        took,
        completed: closed,
        report: fields.report()?,
    })
}

fn name_of(code: u16) -> Option<&'static str> {
    Some(match code {
        1 => "Targets",
        2 => "Echo",
        3 => "Due",
        4 => "Result",
        5 => "Teardown",
        6 => "NeighbourSays",
        7 => "Accepted",
        8 => "Vanished",
        9 => "Incoming",
        10 => "Start",
        11 => "Register",
        _ => return None,
    })
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
