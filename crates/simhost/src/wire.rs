//! The simulator's frames and records. Translation only.

use opalpulley::{
    Action, AttemptHistory, DeliveryClassId, DestinationId, EndpointEntry, EndpointId,
    EndpointKindId, EndpointStatus, MessageId, Micros, OrderKey, Outcome, Submission, TenantId,
    TimerToken, ZoneId,
};
use std::fmt;
use std::io::{self, Read};

const BATCH_HEADER: usize = 20;
const REPLY_HEADER: usize = 12;
const LISTING_BYTES: usize = 25;
const EVERY_PEER: u32 = u32::MAX;
const LOG_CODE: u16 = 70;

#[derive(Debug)]
pub enum WireError {
    Io(io::Error),
    CutOff {
        what: &'static str,
        wanted: usize,
        got: usize,
    },
    Record {
        record: &'static str,
        offset: usize,
        problem: String,
    },
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(e) => write!(f, "cannot read or write the wire: {e}"),
            WireError::CutOff { what, wanted, got } => {
                write!(
                    f,
                    "input ends inside a {what}: {wanted} bytes wanted, {got} there"
                )
            }
            WireError::Record {
                record,
                offset,
                problem,
            } => {
                write!(f, "{record} at byte {offset} of the batch: {problem}")
            }
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError::Io(e)
    }
}

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub struct BatchHead {
    pub records: u32,
    pub bytes: u32,
    pub clock: Micros,
    pub number: u32,
}

fn fill(input: &mut impl Read, limit: usize, into: &mut Vec<u8>) -> io::Result<usize> {
    into.clear();
    input.by_ref().take(limit as u64).read_to_end(into)
}

/// Reads one batch into `body`; `None` at a clean end of input.
pub fn read_batch(
    input: &mut impl Read,
    body: &mut Vec<u8>,
) -> Result<Option<BatchHead>, WireError> {
    let got = fill(input, BATCH_HEADER, body)?;
    if got == 0 {
        return Ok(None);
    }
    if got < BATCH_HEADER {
        return Err(WireError::CutOff {
            what: "batch header",
            wanted: BATCH_HEADER,
            got,
        });
    }
    let mut fields = Fields::new("batch header", 0, body);
    let head = BatchHead {
        records: fields.u32()?,
        bytes: fields.u32()?,
        clock: fields.u64()?,
        number: fields.u32()?,
    };
    let wanted = head.bytes as usize;
    let got = fill(input, wanted, body)?;
    if got < wanted {
        return Err(WireError::CutOff {
            what: "batch",
            wanted,
            got,
        });
    }
    Ok(Some(head))
}

/// The bytes of one record, read field by field.
pub struct Fields<'a> {
    record: &'static str,
    offset: usize,
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Fields<'a> {
    pub fn new(record: &'static str, offset: usize, bytes: &'a [u8]) -> Self {
        Fields {
            record,
            offset,
            bytes,
            at: 0,
        }
    }

    pub fn bad(&self, problem: impl Into<String>) -> WireError {
        WireError::Record {
            record: self.record,
            offset: self.offset,
            problem: problem.into(),
        }
    }

    pub fn take(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        let left = &self.bytes[self.at..];
        if left.len() < n {
            return Err(self.bad(format!(
                "{n} bytes wanted at its byte {}, {} there",
                self.at,
                left.len()
            )));
        }
        self.at += n;
        Ok(&left[..n])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    pub fn u8(&mut self) -> Result<u8, WireError> {
        Ok(u8::from_le_bytes(self.array()?))
    }

    pub fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    pub fn endpoint(&mut self) -> Result<EndpointId, WireError> {
        Ok(EndpointId {
            address: self.array()?,
            port: self.u16()?,
            incarnation: 0,
        })
    }

    pub fn report(&mut self) -> Result<Vec<f32>, WireError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    pub fn outcome(&mut self, code: u16, remark: u32) -> Result<Outcome, WireError> {
        Ok(match code {
            200 => Outcome::Delivered,
            502 => Outcome::Error,
            429 => Outcome::Rejected {
                retry_after: (remark > 0).then(|| Micros::from(remark) * 1000),
            },
            408 => Outcome::Timeout,
            521 => Outcome::NoConnection,
            520 => Outcome::Reset,
            444 => Outcome::Cancelled,
            409 => Outcome::NotAttempted {
                no_permit: remark == 1,
            },
            other => return Err(self.bad(format!("no outcome has the code {other}"))),
        })
    }

    pub fn listings(&mut self) -> Result<Vec<EndpointEntry>, WireError> {
        let n = self.u32()? as usize;
        if n > (self.bytes.len() - self.at) / LISTING_BYTES {
            return Err(self.bad(format!(
                "{n} entries announced, {} bytes left",
                self.bytes.len() - self.at
            )));
        }
        (0..n).map(|_| self.listing()).collect()
    }

    fn listing(&mut self) -> Result<EndpointEntry, WireError> {
        Ok(EndpointEntry {
            zone: ZoneId(self.u16()?),
            endpoint: self.endpoint()?,
            up_since: self.u64()?,
            status: match self.u8()? {
                0 => EndpointStatus::Ready,
                1 => EndpointStatus::Draining,
                3 => EndpointStatus::Removed,
                other => return Err(self.bad(format!("no readiness has the value {other}"))),
            },
            rate: self.f32()?,
            destination: DestinationId(self.u16()?.into()),
            kind: EndpointKindId(self.u16()?),
        })
    }

    pub fn arrival(&mut self) -> Result<Submission, WireError> {
        let id = MessageId(self.u32()?);
        let class = DeliveryClassId(self.u16()?);
        let tenant = TenantId(self.u32()?);
        let key = self.u64()?;
        let left = Micros::from(self.u32()?);
        let _hint = self.u32()?;
        let dest = self.f32()?;
        if dest.fract() != 0.0 || !(0.0..=f32::from(u16::MAX)).contains(&dest) {
            return Err(self.bad(format!("{dest} is no number of a destination")));
        }
        let bits = self.u8()?;
        Ok(Submission {
            id,
            class,
            tenant,
            key: (key != 0).then_some(OrderKey(key)),
            time_left: left,
            destination: DestinationId(dest as u32),
            resubmitted: bits & 2 != 0,
            history: AttemptHistory::default(),
        })
    }
}

/// A record before its fields are read.
pub struct Raw<'a> {
    pub code: u16,
    pub offset: usize,
    pub fields: &'a [u8],
}

/// The records of a batch, in order.
pub fn records(head: BatchHead, body: &[u8]) -> Result<Vec<Raw<'_>>, WireError> {
    let mut out = Vec::new();
    let mut rest = Fields::new("record", 0, body);
    for _ in 0..head.records {
        rest.offset = rest.at;
        let code = rest.u16()?;
        let len = rest.u32()? as usize;
        out.push(Raw {
            code,
            offset: rest.offset,
            fields: rest.take(len)?,
        });
    }
    if rest.at != body.len() {
        return Err(rest.bad(format!(
            "{} bytes follow the last record",
            body.len() - rest.at
        )));
    }
    Ok(out)
}

/// A reply being built.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
    records: u32,
}

impl Reply {
    pub fn clear(&mut self) {
        self.body.clear();
        self.records = 0;
    }

    pub fn frame(&self, number: u32) -> Result<Vec<u8>, WireError> {
        let mut out = Vec::with_capacity(REPLY_HEADER + self.body.len());
        out.extend(narrow("reply", self.body.len() as u64)?.to_le_bytes());
        out.extend(self.records.to_le_bytes());
        out.extend(number.to_le_bytes());
        out.extend(&self.body);
        Ok(out)
    }

    pub fn push(&mut self, instance: u16, action: &Action) -> Result<(), WireError> {
        let mut fields = instance.to_le_bytes().to_vec();
        let code: u16 = match action {
            Action::Send {
                id,
                endpoint,
                timeout: limit,
                ..
            } => {
                fields.extend(id.0.to_le_bytes());
                put_endpoint(&mut fields, *endpoint);
                fields.extend(narrow("Relay", limit.unwrap_or(0))?.to_le_bytes());
                66
            }
            Action::Fail { id } => {
                fields.extend(id.0.to_le_bytes());
                72
            }
            Action::Reject { id, retry_after } => {
                fields.extend(id.0.to_le_bytes());
                fields.extend(narrow("Reject", retry_after.unwrap_or(0))?.to_le_bytes());
                75
            }
            Action::SetTimer {
                after,
                token: TimerToken(token),
            } => {
                fields.extend(narrow("NotifyMe", *after)?.to_le_bytes());
                fields.extend(token.to_le_bytes());
                73
            }
            Action::HealthCheck { endpoint } => {
                put_endpoint(&mut fields, *endpoint);
                76
            }
            Action::Cancel { id, attempt } => {
                fields.extend(id.0.to_le_bytes());
                fields.push(*attempt);
                68
            }
            // On this wire a call goes as it is sent.
            Action::WithdrawUnsent { .. } => return Ok(()),
            Action::CloseIdleConnections { endpoint } => {
                put_endpoint(&mut fields, *endpoint);
                69
            }
            Action::WatchEndpointList { on } => {
                fields.push(u8::from(*on));
                67
            }
            Action::FetchEndpointList => 74,
            Action::SendGossip {
                peer,
                payload: message,
            } => {
                fields.extend(peer.map_or(EVERY_PEER, u32::from).to_le_bytes());
                put_bytes("Notify", &mut fields, message)?;
                65
            }
            Action::LogError(text) => {
                put_bytes("Fatal", &mut fields, text.as_bytes())?;
                71
            }
            Action::Log(event) => return self.push_log_line(instance, &event.to_string()),
        };
        self.push_record(code, &fields)
    }

    /// A line for the simulator's log.
    pub fn push_log_line(&mut self, instance: u16, line: &str) -> Result<(), WireError> {
        let mut fields = instance.to_le_bytes().to_vec();
        put_bytes("Log", &mut fields, line.as_bytes())?;
        self.push_record(LOG_CODE, &fields)
    }

    fn push_record(&mut self, code: u16, fields: &[u8]) -> Result<(), WireError> {
        self.body.extend(code.to_le_bytes());
        self.body
            .extend(narrow("action", fields.len() as u64)?.to_le_bytes());
        self.body.extend(fields);
        self.records += 1;
        Ok(())
    }
}

fn narrow(record: &'static str, value: u64) -> Result<u32, WireError> {
    u32::try_from(value).map_err(|_| WireError::Record {
        record,
        offset: 0,
        problem: format!("{value} does not fit the wire"),
    })
}

fn put_endpoint(out: &mut Vec<u8>, endpoint: EndpointId) {
    out.extend(endpoint.address);
    out.extend(endpoint.port.to_le_bytes());
}

fn put_bytes(record: &'static str, out: &mut Vec<u8>, bytes: &[u8]) -> Result<(), WireError> {
    let n = u16::try_from(bytes.len()).map_err(|_| WireError::Record {
        record,
        offset: 0,
        problem: format!("{} bytes do not fit one record", bytes.len()),
    })?;
    out.extend(n.to_le_bytes());
    out.extend(bytes);
    Ok(())
}
