//! Encodes the reply to a batch: the actions of the instances, as records.

use crate::error::{RecordErrorKind, WireError};
use opalpulley::{Action, EndpointId, MessageId, Micros, TimerToken};

/// Size of the header of a reply, in bytes.
const REPLY_HEADER_BYTES: usize = 12;
/// Peer number that stands for all peers.
const ALL_PEERS: u32 = u32::MAX;

const CODE_SEND_GOSSIP: u16 = 65;
const CODE_START_ATTEMPT: u16 = 66;
const CODE_WATCH_ENDPOINT_LIST: u16 = 67;
const CODE_CANCEL_ATTEMPT: u16 = 68;
const CODE_CLOSE_IDLE_CONNECTIONS: u16 = 69;
const CODE_LOG: u16 = 70;
const CODE_LOG_ERROR: u16 = 71;
const CODE_FAIL: u16 = 72;
const CODE_SET_TIMER: u16 = 73;
const CODE_FETCH_ENDPOINT_LIST: u16 = 74;
const CODE_REJECT: u16 = 75;
const CODE_START_HEALTH_CHECK: u16 = 76;

/// The records of the reply to the current batch. It is reused for each batch.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
    record_count: u32,
}

impl Reply {
    /// Removes all records. The caller does so at the start of each batch.
    pub fn clear(&mut self) {
        self.body.clear();
        self.record_count = 0;
    }

    /// Returns the frame of the reply, header first. `batch_number` is that of the batch to which it replies. Fails if
    /// the records have more than 4294967295 bytes together.
    pub fn encode(&self, batch_number: u32) -> Result<Vec<u8>, WireError> {
        let body_bytes = checked_u32("reply", self.body.len() as u64)?;
        let mut frame = Vec::with_capacity(REPLY_HEADER_BYTES + self.body.len());
        frame.extend(body_bytes.to_le_bytes());
        frame.extend(self.record_count.to_le_bytes());
        frame.extend(batch_number.to_le_bytes());
        frame.extend(&self.body);
        Ok(frame)
    }

    /// Adds the record of an action of an instance. Fails if a value does not fit its field.
    pub fn push_action(&mut self, instance_number: u16, action: &Action) -> Result<(), WireError> {
        let mut record = ActionRecord::new(instance_number);
        let code = match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                ..
            } => record.put_start_attempt(*id, *endpoint, *timeout)?,
            Action::Fail { id } => record.put_fail(*id),
            Action::Reject { id, retry_after } => record.put_reject(*id, *retry_after)?,
            Action::SetTimer { delay, token } => record.put_set_timer(*delay, *token)?,
            Action::StartHealthCheck { endpoint } => record.put_start_health_check(*endpoint),
            Action::CancelAttempt { id, attempt_index } => {
                record.put_cancel_attempt(*id, *attempt_index)
            }
            // In the simulator an attempt is written completely at the moment it is sent, so none is left to withdraw.
            Action::WithdrawUnsent { .. } => return Ok(()),
            Action::CloseIdleConnections { endpoint } => {
                record.put_close_idle_connections(*endpoint)
            }
            Action::WatchEndpointList { enabled } => record.put_watch_endpoint_list(*enabled),
            Action::FetchEndpointList => CODE_FETCH_ENDPOINT_LIST,
            Action::SendGossip { peer, payload } => record.put_send_gossip(*peer, payload)?,
            Action::LogError(text) => record.put_log_error(text)?,
            Action::Log(event) => return self.push_log_line(instance_number, &event.to_string()),
        };
        self.push_record(code, &record)
    }

    /// Adds a line to the simulator's log. Fails if the line exceeds 65535 bytes.
    pub fn push_log_line(&mut self, instance_number: u16, line: &str) -> Result<(), WireError> {
        let mut record = ActionRecord::new(instance_number);
        record.put_bytes("Log", line.as_bytes())?;
        self.push_record(CODE_LOG, &record)
    }

    fn push_record(&mut self, code: u16, record: &ActionRecord) -> Result<(), WireError> {
        self.body.extend(code.to_le_bytes());
        let length = checked_u32("action", record.fields.len() as u64)?;
        self.body.extend(length.to_le_bytes());
        self.body.extend(&record.fields);
        self.record_count += 1;
        Ok(())
    }
}

/// The encoded fields of one record. All numbers are little-endian. The method that encodes an action returns the code
/// of the record.
struct ActionRecord {
    fields: Vec<u8>,
}

impl ActionRecord {
    /// Creates a record with its first field, the instance number.
    fn new(instance_number: u16) -> ActionRecord {
        ActionRecord {
            fields: instance_number.to_le_bytes().to_vec(),
        }
    }

    /// Encodes an attempt. A timeout of 0 on the wire means none: the attempt may last until the client gives up.
    fn put_start_attempt(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Option<Micros>,
    ) -> Result<u16, WireError> {
        self.put_message_id(id);
        self.put_endpoint(endpoint);
        self.put_micros("Relay", timeout.unwrap_or(0))?;
        Ok(CODE_START_ATTEMPT)
    }

    fn put_fail(&mut self, id: MessageId) -> u16 {
        self.put_message_id(id);
        CODE_FAIL
    }

    /// Encodes a rejection. A retry-after of 0 on the wire means none.
    fn put_reject(&mut self, id: MessageId, retry_after: Option<Micros>) -> Result<u16, WireError> {
        self.put_message_id(id);
        self.put_micros("Reject", retry_after.unwrap_or(0))?;
        Ok(CODE_REJECT)
    }

    fn put_set_timer(&mut self, delay: Micros, token: TimerToken) -> Result<u16, WireError> {
        self.put_micros("NotifyMe", delay)?;
        self.put_u32(token.0);
        Ok(CODE_SET_TIMER)
    }

    fn put_start_health_check(&mut self, endpoint: EndpointId) -> u16 {
        self.put_endpoint(endpoint);
        CODE_START_HEALTH_CHECK
    }

    fn put_cancel_attempt(&mut self, id: MessageId, attempt_index: u8) -> u16 {
        self.put_message_id(id);
        self.put_u8(attempt_index);
        CODE_CANCEL_ATTEMPT
    }

    fn put_close_idle_connections(&mut self, endpoint: EndpointId) -> u16 {
        self.put_endpoint(endpoint);
        CODE_CLOSE_IDLE_CONNECTIONS
    }

    fn put_watch_endpoint_list(&mut self, enabled: bool) -> u16 {
        self.put_u8(u8::from(enabled));
        CODE_WATCH_ENDPOINT_LIST
    }

    fn put_log_error(&mut self, text: &str) -> Result<u16, WireError> {
        self.put_bytes("Fatal", text.as_bytes())?;
        Ok(CODE_LOG_ERROR)
    }

    fn put_send_gossip(&mut self, peer: Option<u16>, payload: &[u8]) -> Result<u16, WireError> {
        self.put_u32(peer.map_or(ALL_PEERS, u32::from));
        self.put_bytes("Notify", payload)?;
        Ok(CODE_SEND_GOSSIP)
    }

    fn put_u8(&mut self, value: u8) {
        self.fields.push(value);
    }

    fn put_u32(&mut self, value: u32) {
        self.fields.extend(value.to_le_bytes());
    }

    fn put_message_id(&mut self, id: MessageId) {
        self.put_u32(id.0);
    }

    fn put_endpoint(&mut self, endpoint: EndpointId) {
        self.fields.extend(endpoint.address);
        self.fields.extend(endpoint.port.to_le_bytes());
    }

    fn put_micros(&mut self, record: &'static str, value: Micros) -> Result<(), WireError> {
        self.put_u32(checked_u32(record, value)?);
        Ok(())
    }

    /// Appends the length of `bytes` in 16 bits, then `bytes`. Fails if they exceed 65535 bytes.
    fn put_bytes(&mut self, record: &'static str, bytes: &[u8]) -> Result<(), WireError> {
        let length = u16::try_from(bytes.len())
            .map_err(|_| encode_error(record, RecordErrorKind::TextTooLong(bytes.len())))?;
        self.fields.extend(length.to_le_bytes());
        self.fields.extend(bytes);
        Ok(())
    }
}

fn checked_u32(record: &'static str, value: u64) -> Result<u32, WireError> {
    u32::try_from(value).map_err(|_| encode_error(record, RecordErrorKind::NumberTooLarge(value)))
}

fn encode_error(record: &'static str, kind: RecordErrorKind) -> WireError {
    WireError::Record {
        record,
        offset: 0,
        kind,
    }
}
