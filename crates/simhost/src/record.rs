//! The records of a batch: their codes, and a decoder for each.

use crate::error::{RecordErrorKind, WireError};
use crate::field_reader::FieldReader;
use opalpulley::{
    AttemptHistory, DeliveryClassId, DestinationId, EndpointEntry, EndpointKindId, EndpointStatus,
    Event, MessageId, Micros, OrderKey, Outcome, Submission, TenantId, TimerToken, ZoneId,
};
use opalpulley_config::MICROS_PER_MILLI;

/// Bytes of one entry of an endpoint list.
const LIST_ENTRY_BYTES: usize = 25;

/// The flag of a submission that the client has made before.
const FLAG_RESUBMITTED: u8 = 2;
/// The detail of an attempt that the endpoint did not try because it had no concurrency permit.
const DETAIL_NO_PERMIT: u32 = 1;

/// The records that are understood. Others are skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// An endpoint list that updates refer to.
    ListRegistered,
    /// An instance starts, with its settings.
    InstanceStarted,
    /// An instance has ended.
    InstanceEnded,
    /// Something happened that an instance is told.
    Event(EventKind),
}

/// The records that are events of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// An update of the endpoint list.
    EndpointListUpdated,
    /// The end of a health check.
    HealthCheckEnded,
    /// A timer has fired.
    TimerFired,
    /// The end of an attempt.
    AttemptEnded,
    /// Gossip of another forwarder.
    GossipReceived,
    /// The endpoint's answer to an attempt has begun: `Accepted` on the wire.
    ResponseStarted,
    /// The client has withdrawn a message.
    MessageWithdrawn,
    /// A client submits a message.
    MessageSubmitted,
}

impl RecordKind {
    /// The kind with a code on the wire.
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

    /// The name that the wire document gives it. Errors use it.
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

/// The start of an instance.
pub struct InstanceStart<'a> {
    /// The seed of its random numbers.
    pub seed: u64,
    /// The JSON of its settings.
    pub settings: &'a [u8],
}

/// What an update says of an instance's endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// The list could not be had.
    Failed,
    /// The list of an earlier time.
    Cached,
    /// The complete list.
    Complete,
    /// The entries that have changed.
    Changes,
}

/// An update of an instance's endpoint list. The entries are those of a registered list.
pub struct ListUpdate {
    /// The number of the registered list.
    pub list_number: u32,
    /// What it means.
    pub kind: ListUpdateKind,
}

/// Decodes the start of an instance.
pub fn decode_instance_start<'a>(
    fields: &mut FieldReader<'a>,
) -> Result<InstanceStart<'a>, WireError> {
    let seed = fields.u64()?;
    let byte_count = fields.u32()? as usize;
    let settings = fields.bytes(byte_count)?;
    Ok(InstanceStart { seed, settings })
}

/// Decodes an update of an endpoint list.
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

/// Decodes the start of an endpoint's answer to an attempt: `Accepted` on the wire.
pub fn decode_response_started(fields: &mut FieldReader) -> Result<Event, WireError> {
    Ok(Event::ResponseStarted {
        id: MessageId(fields.u32()?),
        attempt_index: fields.u8()?,
        endpoint: fields.endpoint()?,
        elapsed: fields.u32()?.into(),
    })
}

/// Decodes the end of an attempt.
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

/// Decodes the end of a health check.
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

/// Decodes the firing of a timer.
pub fn decode_timer_fired(fields: &mut FieldReader) -> Result<Event, WireError> {
    Ok(Event::TimerFired {
        token: TimerToken(fields.u32()?),
    })
}

/// Decodes gossip of another forwarder.
pub fn decode_gossip_received(fields: &mut FieldReader) -> Result<Event, WireError> {
    let peer = fields.u16()?;
    let byte_count = fields.u16()?;
    let payload = fields.bytes(byte_count.into())?.to_vec();
    Ok(Event::GossipReceived { peer, payload })
}

/// Decodes a client's submission.
pub fn decode_submission(fields: &mut FieldReader) -> Result<Submission, WireError> {
    let id = MessageId(fields.u32()?);
    let class = DeliveryClassId(fields.u16()?);
    let tenant = TenantId(fields.u32()?);
    let order_key = fields.u64()?;
    let time_left = Micros::from(fields.u32()?);
    // A guess of the call's cost in time. The core does not use it.
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

/// The wire has the number of a destination as a float.
fn decode_destination(fields: &mut FieldReader) -> Result<DestinationId, WireError> {
    let number = fields.f32()?;
    let in_range = (0.0..=f32::from(u16::MAX)).contains(&number);
    if number.fract() != 0.0 || !in_range {
        return Err(fields.error(RecordErrorKind::InvalidDestination(number)));
    }
    Ok(DestinationId(number as u32))
}

/// `detail` is the retry-after of a rejection, ms, or says why an attempt was not tried.
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

fn decode_load_metrics(fields: &mut FieldReader) -> Result<Vec<f32>, WireError> {
    let metric_count = fields.u8()?;
    (0..metric_count).map(|_| fields.f32()).collect()
}

/// Decodes the entries of a registered list. Fails if the record is too short for the number of entries that it announces,
/// before any entry is decoded.
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

/// The wire has no status with the number 2.
fn decode_endpoint_status(fields: &mut FieldReader) -> Result<EndpointStatus, WireError> {
    match fields.u8()? {
        0 => Ok(EndpointStatus::Ready),
        1 => Ok(EndpointStatus::Draining),
        3 => Ok(EndpointStatus::Removed),
        other => Err(fields.error(RecordErrorKind::UnknownEndpointStatus(other))),
    }
}
