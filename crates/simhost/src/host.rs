//! The instances of the decision core in this process, and the records that reach them.

use crate::error::{RecordProblem, WireError};
use crate::field_reader::FieldReader;
use crate::frame::{split_records, BatchHead, RawRecord};
use crate::record::{self, EventKind, ListUpdate, ListUpdateKind, RecordKind};
use crate::reply::Reply;
use opalpulley::{Action, EndpointEntry, EndpointListUpdate, Event, Forwarder, Micros};
use std::collections::BTreeMap;

/// How many lists may be registered.
const MAX_LISTS: u32 = 16;

/// All instances, and the lists that their records refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Forwarder>,
    lists: BTreeMap<u32, Vec<EndpointEntry>>,
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    /// Applies one batch. Returns the frame that answers it.
    pub fn answer(&mut self, head: BatchHead, body: &[u8]) -> Result<Vec<u8>, WireError> {
        self.reply.clear();
        for raw in split_records(head, body)? {
            // The wire may grow: unknown records are skipped.
            if let Some(kind) = RecordKind::from_code(raw.code) {
                self.apply_record(head.clock, kind, &raw)?;
            }
        }
        self.reply.frame(head.number)
    }

    fn apply_record(
        &mut self,
        now: Micros,
        kind: RecordKind,
        raw: &RawRecord,
    ) -> Result<(), WireError> {
        let mut fields = FieldReader::new(kind.wire_name(), raw.offset, raw.fields);
        match kind {
            RecordKind::ListRegistered => self.register_list(&mut fields),
            RecordKind::InstanceStarted => self.start_instance(&mut fields),
            RecordKind::InstanceEnded => self.end_instance(&mut fields),
            RecordKind::Event(event) => self.apply_event(now, event, &mut fields),
        }
    }

    fn register_list(&mut self, fields: &mut FieldReader) -> Result<(), WireError> {
        let number = fields.u32()?;
        if number >= MAX_LISTS {
            return Err(fields.error(RecordProblem::NoSuchList(number)));
        }
        let entries = record::decode_endpoint_list(fields)?;
        self.lists.insert(number, entries);
        Ok(())
    }

    fn start_instance(&mut self, fields: &mut FieldReader) -> Result<(), WireError> {
        let instance = fields.u16()?;
        let start = record::decode_instance_start(fields)?;
        let settings = opalpulley_config::read(start.settings)
            .map_err(|problem| fields.error(RecordProblem::Settings(problem)))?;
        let forwarder = Forwarder::new(settings.config, start.seed);
        self.instances.insert(instance, forwarder);
        Ok(())
    }

    fn end_instance(&mut self, fields: &mut FieldReader) -> Result<(), WireError> {
        let instance = fields.u16()?;
        if self.instances.remove(&instance).is_none() {
            return Err(fields.error(RecordProblem::UnknownInstance(instance)));
        }
        Ok(())
    }

    /// Gives an event to its instance, and adds the actions of the instance to the reply.
    fn apply_event(
        &mut self,
        now: Micros,
        kind: EventKind,
        fields: &mut FieldReader,
    ) -> Result<(), WireError> {
        let instance = fields.u16()?;
        let Some(forwarder) = self.instances.get_mut(&instance) else {
            return Err(fields.error(RecordProblem::UnknownInstance(instance)));
        };
        let event = decode_event(kind, fields, &self.lists)?;
        forwarder.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            self.reply.push(instance, &action)?;
        }
        Ok(())
    }
}

fn decode_event(
    kind: EventKind,
    fields: &mut FieldReader,
    lists: &BTreeMap<u32, Vec<EndpointEntry>>,
) -> Result<Event, WireError> {
    match kind {
        EventKind::EndpointListUpdate => {
            let update = record::decode_list_update(fields)?;
            resolve_list_update(&update, fields, lists)
        }
        EventKind::HealthCheckEnded => record::decode_health_check_ended(fields),
        EventKind::TimerFired => record::decode_timer_fired(fields),
        EventKind::AttemptEnded => record::decode_attempt_ended(fields),
        EventKind::Gossip => record::decode_gossip(fields),
        EventKind::AnswerStarted => record::decode_answer_started(fields),
        EventKind::Withdrawn => record::decode_withdrawn(fields),
        EventKind::Submitted => record::decode_submission(fields).map(Event::MessageSubmitted),
    }
}

/// The update with the entries of its registered list. A failed one needs none.
fn resolve_list_update(
    update: &ListUpdate,
    fields: &FieldReader,
    lists: &BTreeMap<u32, Vec<EndpointEntry>>,
) -> Result<Event, WireError> {
    let entries = || {
        let list = lists.get(&update.list).cloned();
        list.ok_or_else(|| fields.error(RecordProblem::UnregisteredList(update.list)))
    };
    let update = match update.kind {
        ListUpdateKind::Failed => EndpointListUpdate::Failed,
        ListUpdateKind::Cached => EndpointListUpdate::Cached(entries()?),
        ListUpdateKind::Complete => EndpointListUpdate::Complete(entries()?),
        ListUpdateKind::Changes => EndpointListUpdate::Changes(entries()?),
    };
    Ok(Event::EndpointListUpdated(update))
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
