//! The instances of the decision core in this process. Each record of a batch is decoded and applied to its instance.

use crate::error::{RecordErrorKind, WireError};
use crate::field_reader::FieldReader;
use crate::frame::{split_records, BatchHeader, RawRecord};
use crate::record::{self, EventKind, ListUpdate, ListUpdateKind, RecordKind};
use crate::reply::Reply;
use opalpulley::{Action, EndpointEntry, EndpointListUpdate, Event, Forwarder, Micros};
use std::collections::BTreeMap;

/// Upper bound on the number of registered lists. The valid list numbers are those below it.
const MAX_REGISTERED_LISTS: u32 = 16;

/// Owns the instances of the decision core, and the registered endpoint lists that their records refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Forwarder>,
    registered_lists: BTreeMap<u32, Vec<EndpointEntry>>,
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    /// Applies the records of a batch in order and returns the encoded reply. Stops at the first record that can't be
    /// decoded or applied and returns its error; the records before it stay applied.
    pub fn handle_batch(&mut self, header: BatchHeader, body: &[u8]) -> Result<Vec<u8>, WireError> {
        self.reply.clear();
        for raw in split_records(header, body)? {
            // The protocol may gain records, so those with an unknown code are skipped.
            if let Some(kind) = RecordKind::from_code(raw.code) {
                self.apply_record(header.now, kind, &raw)?;
            }
        }
        self.reply.encode(header.batch_number)
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
        let list_number = fields.u32()?;
        if list_number >= MAX_REGISTERED_LISTS {
            return Err(fields.error(RecordErrorKind::ListNumberOutOfRange(list_number)));
        }
        let entries = record::decode_endpoint_list(fields)?;
        self.registered_lists.insert(list_number, entries);
        Ok(())
    }

    fn start_instance(&mut self, fields: &mut FieldReader) -> Result<(), WireError> {
        let instance_number = fields.u16()?;
        let instance_start = record::decode_instance_start(fields)?;
        let settings = opalpulley_config::parse_settings(instance_start.settings)
            .map_err(|error| fields.error(RecordErrorKind::Settings(error)))?;
        let forwarder = Forwarder::new(settings.config, instance_start.seed);
        self.instances.insert(instance_number, forwarder);
        Ok(())
    }

    fn end_instance(&mut self, fields: &mut FieldReader) -> Result<(), WireError> {
        let instance_number = fields.u16()?;
        if self.instances.remove(&instance_number).is_none() {
            return Err(fields.error(RecordErrorKind::UnknownInstance(instance_number)));
        }
        Ok(())
    }

    /// Passes an event to its instance and adds the resulting actions to the reply. Fails if the instance is not
    /// running.
    fn apply_event(
        &mut self,
        now: Micros,
        kind: EventKind,
        fields: &mut FieldReader,
    ) -> Result<(), WireError> {
        let instance_number = fields.u16()?;
        let Some(forwarder) = self.instances.get_mut(&instance_number) else {
            return Err(fields.error(RecordErrorKind::UnknownInstance(instance_number)));
        };
        let event = decode_event(kind, fields, &self.registered_lists)?;
        forwarder.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            self.reply.push_action(instance_number, &action)?;
        }
        Ok(())
    }
}

fn decode_event(
    kind: EventKind,
    fields: &mut FieldReader,
    registered_lists: &BTreeMap<u32, Vec<EndpointEntry>>,
) -> Result<Event, WireError> {
    match kind {
        EventKind::EndpointListUpdated => {
            let list_update = record::decode_list_update(fields)?;
            resolve_list_update(&list_update, fields, registered_lists)
        }
        EventKind::HealthCheckEnded => record::decode_health_check_ended(fields),
        EventKind::TimerFired => record::decode_timer_fired(fields),
        EventKind::AttemptEnded => record::decode_attempt_ended(fields),
        EventKind::GossipReceived => record::decode_gossip_received(fields),
        EventKind::ResponseStarted => record::decode_response_started(fields),
        EventKind::MessageWithdrawn => record::decode_message_withdrawn(fields),
        EventKind::MessageSubmitted => {
            record::decode_submission(fields).map(Event::MessageSubmitted)
        }
    }
}

/// Converts a list update to an event with the entries of its registered list. Fails if the list is not registered; a
/// failed update needs no list.
fn resolve_list_update(
    list_update: &ListUpdate,
    fields: &FieldReader,
    registered_lists: &BTreeMap<u32, Vec<EndpointEntry>>,
) -> Result<Event, WireError> {
    let entries = || {
        let list = registered_lists.get(&list_update.list_number).cloned();
        list.ok_or_else(|| fields.error(RecordErrorKind::UnregisteredList(list_update.list_number)))
    };
    let update = match list_update.kind {
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
