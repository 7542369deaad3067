//! The records of a batch: their codes on the wire, their names and their decoders.

use crate::error::{RecordErrorKind, WireError};
use crate::field_reader::FieldReader;
use opalpulley::{
    AttemptHistory, DeliveryClassId, DestinationId, EndpointEntry, EndpointKindId, EndpointStatus,
    Event, MessageId, Micros, OrderKey, Outcome, Submission, TenantId, TimerToken, ZoneId,
};
use opalpulley_config::MICROS_PER_MILLI;

/// Size of an encoded entry of an endpoint list, in bytes.
const LIST_ENTRY_BYTES: usize = 25;

/// Flag of a message that the client submitted before.
const FLAG_RESUBMITTED: u8 = 2;
/// Detail of an attempt that the endpoint did not make for want of a concurrency permit.
const DETAIL_NO_PERMIT: u32 = 1;

/// The kind of a record. Records of other kinds are skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// Registers an endpoint list, which list updates refer to by its number.
    ListRegistered,
    /// Starts an instance with the settings in the record.
    InstanceStarted,
    /// Ends an instance.
    InstanceEnded,
    /// Passes an event to an instance.
    Event(EventKind),
}

/// The kind of a record that passes an event to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Discovery sent an update of the endpoint list, or failed to.
    EndpointListUpdated,
    /// A health check ended.
    HealthCheckEnded,
    /// A timer expired.
    TimerFired,
    /// An attempt ended.
    AttemptEnded,
    /// Gossip arrived from another forwarder.
    GossipReceived,
    /// The first part of the response to an attempt arrived: `Accepted` in the simulator's protocol.
    ResponseStarted,
    /// The client withdrew a message.
    MessageWithdrawn,
    /// A client submitted a message.
    MessageSubmitted,
}

impl RecordKind {
    /// Returns the kind with the given code on the wire, or `None` if the code is unknown.
    pub fn from_code(code: u16) -> Option<RecordKind> {
        match code {
            1 => Some(RecordKind::Event(EventKind::EndpointListUpdated)),
            2 => Some(RecordKind::Event(EventKind::HealthCheckEnded)),
            3 => Some(RecordKind::Event(EventKind::TimerFired)),
            4 => Some(RecordKind::Event(EventKind::AttemptEnded)),
            5 => Some(RecordKind::InstanceEnded),
            6 => Some(RecordKind::Event(EventKind::GossipReceived)),
            7 => Some(RecordKind::Event(EventKind::ResponseStarted)),
            8 => Some(RecordKind::Event(EventKind::MessageWithdrawn)),
            9 => Some(RecordKind::Event(EventKind::MessageSubmitted)),
            10 => Some(RecordKind::InstanceStarted),
            11 => Some(RecordKind::ListRegistered),
            _ => None,
        }
    }

    /// Returns the name of the record in the simulator's protocol, for error messages.
    pub fn wire_name(self) -> &'static str {
        match self {
            RecordKind::ListRegistered => "Register",
            RecordKind::InstanceStarted => "Start",
            RecordKind::InstanceEnded => "Teardown",
            RecordKind::Event(EventKind::EndpointListUpdated) => "Targets",
            RecordKind::Event(EventKind::HealthCheckEnded) => "Echo",
            RecordKind::Event(EventKind::TimerFired) => "Due",
            RecordKind::Event(EventKind::AttemptEnded) => "Result",
            RecordKind::Event(EventKind::GossipReceived) => "NeighbourSays",
            RecordKind::Event(EventKind::ResponseStarted) => "Accepted",
            RecordKind::Event(EventKind::MessageWithdrawn) => "Vanished",
            RecordKind::Event(EventKind::MessageSubmitted) => "Incoming",
        }
    }
}

/// The fields of a record that starts an instance, behind the instance number.
pub struct InstanceStart<'a> {
    /// Seed of the instance's random numbers.
    pub seed: u64,
    /// Settings of the instance, as JSON text.
    pub settings: &'a [u8],
}

/// The kind of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Discovery sent no list.
    Failed,
    /// All endpoints from the last list that was stored; they may be outdated.
    Cached,
    /// All endpoints. An endpoint that is missing from the update has left the list.
    Complete,
    /// The entries that changed since the last update.
    Changes,
}

/// An update of an instance's endpoint list. It refers to a registered list instead of containing entries.
pub struct ListUpdate {
    /// Number of the registered list that contains the entries. A failed update does not use it.
    pub list_number: u32,
    /// Whether the entries are complete, partial or outdated, or the request failed.
    pub kind: ListUpdateKind,
}

/// Decodes the fields of a record that starts an instance. Does not validate the settings.
pub fn decode_instance_start<'a>(
    fields: &mut FieldReader<'a>,
) -> Result<InstanceStart<'a>, WireError> {
    let seed = fields.u64()?;
    let byte_count = fields.u32()? as usize;
    let settings = fields.bytes(byte_count)?;
    Ok(InstanceStart { seed, settings })
}

/// Decodes an update of an endpoint list. Fails if the kind of the update is unknown.
pub fn decode_list_update(fields: &mut FieldReader) -> Result<ListUpdate, WireError> {
    let list_number = fields.u32()?;
    let kind = match fields.u8()? {
        1 => ListUpdateKind::Failed,
        2 => ListUpdateKind::Cached,
        3 => ListUpdateKind::Complete,
        4 => ListUpdateKind::Changes,
        other => return Err(fields.error(RecordErrorKind::UnknownListUpdateKind(other))),
    };
    Ok(ListUpdate { list_number, kind })
}

/// Decodes the start of the response to an attempt: `Accepted` in the simulator's protocol.
pub fn decode_response_started(fields: &mut FieldReader) -> Result<Event, WireError> {
    Ok(Event::ResponseStarted {
        id: MessageId(fields.u32()?),
        attempt_index: fields.u8()?,
        endpoint: fields.endpoint()?,
        elapsed: fields.u32()?.into(),
    })
}

/// Decodes the end of an attempt. Fails if the code of the outcome is unknown.
pub fn decode_attempt_ended(fields: &mut FieldReader) -> Result<Event, WireError> {
    let id = MessageId(fields.u32()?);
    let attempt_index = fields.u8()?;
    let endpoint = fields.endpoint()?;
    let outcome_code = fields.u16()?;
    let elapsed = fields.u32()?.into();
    let message_completed = fields.u8()? != 0;
    let detail = fields.u32()?;
    let outcome = decode_outcome(outcome_code, detail, fields)?;
    Ok(Event::AttemptEnded {
        id,
        attempt_index,
        endpoint,
        outcome,
        elapsed,
        message_completed,
        load_metrics: decode_load_metrics(fields)?,
    })
}

/// Decodes the end of a health check. Fails if the code of the outcome is unknown.
pub fn decode_health_check_ended(fields: &mut FieldReader) -> Result<Event, WireError> {
    let endpoint = fields.endpoint()?;
    let outcome_code = fields.u16()?;
    Ok(Event::HealthCheckEnded {
        endpoint,
        outcome: decode_outcome(outcome_code, 0, fields)?,
        elapsed: fields.u32()?.into(),
        load_metrics: decode_load_metrics(fields)?,
    })
}

/// Decodes the withdrawal of a message.
pub fn decode_message_withdrawn(fields: &mut FieldReader) -> Result<Event, WireError> {
    Ok(Event::MessageWithdrawn {
        id: MessageId(fields.u32()?),
    })
}

/// Decodes the expiry of a timer.
pub fn decode_timer_fired(fields: &mut FieldReader) -> Result<Event, WireError> {
    Ok(Event::TimerFired {
        token: TimerToken(fields.u32()?),
    })
}

/// Decodes gossip from another forwarder. The payload is decoded by the core.
pub fn decode_gossip_received(fields: &mut FieldReader) -> Result<Event, WireError> {
    let peer = fields.u16()?;
    let byte_count = fields.u16()?;
    let payload = fields.bytes(byte_count.into())?.to_vec();
    Ok(Event::GossipReceived { peer, payload })
}

/// Decodes the submission of a message. Fails if the destination is not a whole number from 0 to 65535.
pub fn decode_submission(fields: &mut FieldReader) -> Result<Submission, WireError> {
    let id = MessageId(fields.u32()?);
    let class = DeliveryClassId(fields.u16()?);
    let tenant = TenantId(fields.u32()?);
    let order_key = fields.u64()?;
    let time_left = Micros::from(fields.u32()?);
    // The field holds an estimate of the duration of the call. The core does not use it.
    let _duration_hint = fields.u32()?;
    let destination = decode_destination(fields)?;
    let flags = fields.u8()?;
    Ok(Submission {
        id,
        class,
        tenant,
        order_key: (order_key != 0).then_some(OrderKey(order_key)),
        time_left,
        destination,
        resubmitted: flags & FLAG_RESUBMITTED != 0,
        history: AttemptHistory::default(),
    })
}

/// Decodes the number of a destination, which the protocol encodes as a floating-point number.
fn decode_destination(fields: &mut FieldReader) -> Result<DestinationId, WireError> {
    let number = fields.f32()?;
    let in_range = (0.0..=f32::from(u16::MAX)).contains(&number);
    if number.fract() != 0.0 || !in_range {
        return Err(fields.error(RecordErrorKind::InvalidDestination(number)));
    }
    Ok(DestinationId(number as u32))
}

/// Converts the code of an outcome. `detail` is the retry-after of a rejection in ms, 0 for none; for an attempt that
/// was not made, it is the cause.
fn decode_outcome(code: u16, detail: u32, fields: &FieldReader) -> Result<Outcome, WireError> {
    match code {
        200 => Ok(Outcome::Delivered),
        502 => Ok(Outcome::Error),
        429 => Ok(Outcome::Rejected {
            retry_after: (detail > 0).then_some(Micros::from(detail) * MICROS_PER_MILLI),
        }),
        408 => Ok(Outcome::Timeout),
        521 => Ok(Outcome::NoConnection),
        520 => Ok(Outcome::ConnectionReset),
        444 => Ok(Outcome::Cancelled),
        409 => Ok(Outcome::NotAttempted {
            no_permit: detail == DETAIL_NO_PERMIT,
        }),
        other => Err(fields.error(RecordErrorKind::UnknownOutcome(other))),
    }
}

/// Decodes load metrics: their number in 8 bits, then the values.
fn decode_load_metrics(fields: &mut FieldReader) -> Result<Vec<f32>, WireError> {
    let metric_count = fields.u8()?;
    (0..metric_count).map(|_| fields.f32()).collect()
}

/// Decodes the entries of a registered list. Fails before decoding any entry if the record is too short for the number
/// of entries that it announces.
pub fn decode_endpoint_list(fields: &mut FieldReader) -> Result<Vec<EndpointEntry>, WireError> {
    let entry_count = fields.u32()? as usize;
    if entry_count > fields.remaining_bytes() / LIST_ENTRY_BYTES {
        return Err(fields.error(RecordErrorKind::TooManyEntries {
            announced_entries: entry_count,
            remaining_bytes: fields.remaining_bytes(),
        }));
    }
    (0..entry_count)
        .map(|_| decode_list_entry(fields))
        .collect()
}

fn decode_list_entry(fields: &mut FieldReader) -> Result<EndpointEntry, WireError> {
    Ok(EndpointEntry {
        zone: ZoneId(fields.u16()?),
        endpoint: fields.endpoint()?,
        up_since: fields.u64()?,
        status: decode_endpoint_status(fields)?,
        rate: fields.f32()?,
        destination: DestinationId(fields.u16()?.into()),
        kind: EndpointKindId(fields.u16()?),
    })
}

/// Decodes the status of an endpoint. The protocol defines no status with the number 2.
fn decode_endpoint_status(fields: &mut FieldReader) -> Result<EndpointStatus, WireError> {
    match fields.u8()? {
        0 => Ok(EndpointStatus::Ready),
        1 => Ok(EndpointStatus::Draining),
        3 => Ok(EndpointStatus::Removed),
        other => Err(fields.error(RecordErrorKind::UnknownEndpointStatus(other))),
    }
}
