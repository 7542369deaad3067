//! One actor an endpoint: it owns the connections there, carries calls and health checks, and says how each ended.
//! It decides nothing and sends nothing again by itself.

use crate::clock::micros;
use crate::commands::{AttemptRequest, DispatcherCommand, EndpointCommand};
use crate::http_connection::HttpConnection;
use crate::protocol::{self, Outgoing, READ_BUFFER_BYTES};
use crate::stream::{AnswerProgress, Stream, StreamState};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::Builder;
use hyper::Response;
use opalpulley::{EndpointId, Event, MessageId, Micros, Outcome};
use opalpulley_config::{ConnectionConfig, Names};
use slog::{debug, error, Logger};
use std::collections::BTreeMap;
use std::fmt;
use std::future::{pending, ready};
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::{Id, JoinSet};
use tokio::time::Instant;
use tower::{Service, ServiceExt};

const RETIRE_AHEAD: u32 = 10; // a connection is retired this part of its idle time early: calls take time to arrive
const DRAIN: Duration = Duration::from_millis(500); // for the rest of an answer whose first line is in: bodies are small
const HEAD_TIME: Duration = Duration::from_millis(300); // from an answer's first byte to the end of its head: one write
const SETTLE: Duration = Duration::from_millis(3); // before a connection serves again: noise comes right behind an answer
const HEALTH_CHECK_TIME: f64 = 1.5; // times what a connection may take: a health check opens one and waits for its answer

/// How far an attempt had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No connection was up, or it took no byte.
    Connecting,
    /// Some of the call's bytes were not written: it can't have run.
    Writing,
    /// All of them were: it may have run.
    Written,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    Broken,
    OutOfTime,
    Cancelled,
    /// The last moment at which it might begin is over, and none of its bytes has gone.
    TooLate,
    /// It is to go no further, and has not gone whole.
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallFault {
    pub stage: Stage,
    pub why: FailureCause,
}

impl fmt::Display for CallFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} while {:?}", self.why, self.stage)
    }
}

impl std::error::Error for CallFault {}

impl From<CallFault> for Outcome {
    fn from(fault: CallFault) -> Outcome {
        match (fault.why, fault.stage) {
            (FailureCause::Cancelled, _) => Outcome::Cancelled,
            (FailureCause::TooLate, _) => Outcome::NotAttempted { no_permit: false },
            (FailureCause::Withdrawn, _) => Outcome::WithdrawnBeforeSend,
            (_, Stage::Connecting) => Outcome::NoConnection,
            (FailureCause::Broken, Stage::Writing) => Outcome::NoConnection,
            (FailureCause::Broken, Stage::Written) => Outcome::Reset,
            (FailureCause::OutOfTime, _) => Outcome::Timeout,
        }
    }
}

/// What all endpoint actors share.
pub struct EndpointContext {
    pub config: ConnectionConfig,
    pub names: Names,
    /// One permit for each connection that may stand idle.
    pub idle: Arc<Semaphore>,
    pub dispatcher: mpsc::Sender<DispatcherCommand>,
    pub log: Logger,
}

/// A connection to an endpoint, with the state of its stream.
struct Connection {
    link: HttpConnection,
    stream_state: Arc<StreamState>,
}

impl Connection {
    async fn open(endpoint: EndpointId, within: Duration) -> Result<Connection, CallFault> {
        let fault = |why| CallFault {
            stage: Stage::Connecting,
            why,
        };
        let up = async {
            let stream = TcpStream::connect(protocol::address(endpoint)).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (stream, stream_state) = Stream::new(stream);
            let link = HttpConnection::over(stream, Builder::new().max_buf_size(READ_BUFFER_BYTES))
                .await
                .ok()?;
            Some(Connection { link, stream_state })
        };
        match tokio::time::timeout(within, up).await {
            Ok(connection) => connection.ok_or(fault(FailureCause::Broken)),
            Err(_) => Err(fault(FailureCause::OutOfTime)),
        }
    }

    async fn send(&mut self, call: Outgoing) -> Result<Response<Incoming>, CallFault> {
        self.ready().await?.call(call).await
    }

    /// After an answer: gives itself back if it can serve again.
    async fn served(mut self, whole: bool) -> Option<Connection> {
        self.stream_state.rest();
        (whole && self.link.usable().await).then_some(self)
    }
}

impl Service<Outgoing> for Connection {
    type Response = Response<Incoming>;
    type Error = CallFault;
    type Future =
        Pin<Box<dyn std::future::Future<Output = Result<Response<Incoming>, CallFault>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), CallFault>> {
        self.link.sender.poll_ready(cx).map_err(|_| CallFault {
            stage: Stage::Connecting,
            why: FailureCause::Broken,
        })
    }

    fn call(&mut self, call: Outgoing) -> Self::Future {
        let stream_state = self.stream_state.clone();
        let answer = self.link.sender.send_request(call.request);
        Box::pin(async move {
            answer.await.map_err(|_| CallFault {
                stage: match stream_state.sent() {
                    0 => Stage::Connecting,
                    some if some < call.length => Stage::Writing,
                    _ => Stage::Written,
                },
                why: FailureCause::Broken,
            })
        })
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
    _permit: OwnedSemaphorePermit,
}

/// What a call or health check under way is for.
#[derive(Clone, Copy)]
enum AttemptKind {
    Attempt { id: MessageId, attempt: u8 },
    HealthCheck,
}

/// What a call or health check under way is told; a later one takes nothing of an earlier one back.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StopRequest {
    Continue,
    WithdrawUnsent,
    Cancel,
}

struct InFlight {
    kind: AttemptKind,
    began: Instant,
    orders: watch::Sender<StopRequest>,
}

pub struct Endpoint {
    id: EndpointId,
    context: Arc<EndpointContext>,
    idle: Vec<Idle>, // the latest used last; emptied as they are used or retired
    tasks: JoinSet<Option<Connection>>, // one for each errand; each leaves as it ends
    in_flight: BTreeMap<Id, InFlight>, // the same
}

impl Endpoint {
    pub fn new(id: EndpointId, context: Arc<EndpointContext>) -> Endpoint {
        Endpoint {
            id,
            context,
            idle: Vec::new(),
            tasks: JoinSet::new(),
            in_flight: BTreeMap::new(),
        }
    }

    fn rest(&self) -> Duration {
        let whole = Duration::from_micros(self.context.config.idle_closed_after);
        whole - whole / RETIRE_AHEAD
    }

    /// Runs until the mailbox is closed and all errands are over.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<EndpointCommand>) {
        let mut open = true;
        while open || !self.tasks.is_empty() {
            let retire = self.idle.first().map(|i| i.since + self.rest());
            tokio::select! {
                note = mailbox.recv(), if open => match note {
                    Some(note) => self.handle_command(note),
                    None => {
                        open = false;
                        self.idle.clear();
                    }
                },
                Some(done) = self.tasks.join_next_with_id(), if !self.tasks.is_empty() => match done {
                    Ok((task, connection)) => {
                        self.in_flight.remove(&task);
                        if let Some(connection) = connection.filter(|_| open) {
                            self.keep(connection);
                        }
                    }
                    Err(problem) => self.broken(problem).await,
                },
                () = tokio::time::sleep_until(retire.unwrap_or_else(Instant::now)), if retire.is_some() => {
                    let rest = self.rest();
                    self.idle.retain(|i| i.since.elapsed() < rest);
                }
            }
        }
    }

    fn handle_command(&mut self, note: EndpointCommand) {
        match note {
            EndpointCommand::StartAttempt(call) => self.call(*call),
            EndpointCommand::HealthCheck => {
                let request = protocol::encode_health_check(self.id);
                let limit = Duration::from_micros(self.context.config.connect_within)
                    .mul_f64(HEALTH_CHECK_TIME);
                self.start(
                    AttemptKind::HealthCheck,
                    request,
                    limit,
                    Instant::now() + limit,
                );
            }
            EndpointCommand::Cancel { id, attempt } => {
                let named = |e| matches!(e, AttemptKind::Attempt { id: i, attempt: t } if (i, t) == (id, attempt));
                self.order(named, StopRequest::Cancel);
            }
            EndpointCommand::WithdrawUnsent => self.order(|_| true, StopRequest::WithdrawUnsent),
            EndpointCommand::CloseIdle => self.idle.clear(),
        }
    }

    fn order(&self, whom: impl Fn(AttemptKind) -> bool, order: StopRequest) {
        let in_flight = self.in_flight.values().filter(|u| whom(u.kind));
        in_flight.for_each(|u| u.orders.send_modify(|now| *now = order.max(*now)));
    }

    fn call(&mut self, call: AttemptRequest) {
        let idempotency_key = call.idempotency_key.as_deref();
        let request = protocol::encode_call(
            self.id,
            &call.request_id,
            idempotency_key,
            call.timeout,
            &call.body,
        );
        self.start(
            AttemptKind::Attempt {
                id: call.id,
                attempt: call.attempt,
            },
            request,
            call.timeout,
            call.send_by,
        );
    }

    fn start(
        &mut self,
        kind: AttemptKind,
        request: Result<Outgoing, hyper::http::Error>,
        limit: Duration,
        send_by: Instant,
    ) {
        let (orders, heard) = watch::channel(StopRequest::Continue);
        let began = Instant::now();
        let idle = self.take_idle();
        let (context, endpoint) = (self.context.clone(), self.id);
        let task = self.tasks.spawn(async move {
            let ended = match request {
                Ok(call) => {
                    let bounds = Bounds { begin: send_by, end: began + limit };
                    carry(endpoint, idle, call, &context, bounds, heard).await
                }
                Err(problem) => {
                    error!(context.log, "a call could not be written"; "problem" => %problem);
                    Err(CallFault { stage: Stage::Writing, why: FailureCause::Broken })
                }
            };
            let (answer, connection) = match ended {
                Ok(Came::Head(answer, connection)) => (answer, connection),
                Ok(Came::Yes) => {
                    context.report_outcome(endpoint, kind, Outcome::Delivered, true, Vec::new(), began).await;
                    return None;
                }
                Err(fault) => {
                    debug!(context.log, "a call failed"; "target" => %protocol::address(endpoint), "fault" => %fault);
                    context.report_outcome(endpoint, kind, fault.into(), false, Vec::new(), began).await;
                    return None;
                }
            };
            let wait = protocol::decode_wait(answer.headers());
            let (outcome, over) = protocol::decode_answer(answer.status(), answer.headers(), wait);
            let report = protocol::decode_report(answer.headers(), &context.names);
            let rest = Limited::new(answer.into_body(), protocol::MAX_BODY_BYTES).collect();
            let mut rest =
                pin!(async { matches!(tokio::time::timeout(DRAIN, rest).await, Ok(Ok(_))) });
            let at_once = tokio::select! {
                biased;
                whole = &mut rest => Some(whole),
                () = ready(()) => None,
            };
            // A wait binds from its head on, whatever comes of the rest; a refusal that is whole tells it with its end.
            let refused = matches!(outcome, Outcome::Rejected { .. }) && at_once == Some(true);
            if let Some(wait) = wait.filter(|_| !refused) {
                context.send_event(Event::RetryAfterReceived { endpoint, retry_after: wait }).await;
            }
            // What ran, or may have, is told by the head. That it did not run is believed of a whole answer only.
            let head_tells = outcome.may_have_taken_effect();
            if head_tells {
                context.report_outcome(endpoint, kind, outcome, over, report.clone(), began).await;
            }
            let whole = match at_once {
                Some(whole) => whole,
                None => rest.await,
            };
            if !head_tells {
                let (outcome, over) = if whole { (outcome, over) } else { (Outcome::Reset, false) };
                context.report_outcome(endpoint, kind, outcome, over, report, began).await;
            }
            connection.served(whole).await
        });
        self.in_flight.insert(
            task.id(),
            InFlight {
                kind,
                began,
                orders,
            },
        );
    }

    /// The connection used last that has settled; where none has, the one used last.
    fn take_idle(&mut self) -> Option<(Connection, Instant)> {
        let rest = self.rest();
        while !self.idle.is_empty() {
            let settled = self.idle.iter().rposition(|i| i.since.elapsed() >= SETTLE);
            let idle = self.idle.remove(settled.unwrap_or(self.idle.len() - 1));
            if idle.since.elapsed() < rest && !idle.connection.link.sender.is_closed() {
                return Some((idle.connection, idle.since));
            }
        }
        None
    }

    fn keep(&mut self, connection: Connection) {
        if let Ok(permit) = self.context.idle.clone().try_acquire_owned() {
            self.idle.push(Idle {
                connection,
                since: Instant::now(),
                _permit: permit,
            });
        }
    }

    /// A panic ends its own call only; how far that had come is not known.
    async fn broken(&mut self, problem: tokio::task::JoinError) {
        error!(self.context.log, "a call broke off"; "problem" => %problem);
        if let Some(InFlight { kind, began, .. }) = self.in_flight.remove(&problem.id()) {
            self.context
                .report_outcome(self.id, kind, Outcome::Reset, false, Vec::new(), began)
                .await;
        }
    }
}

impl EndpointContext {
    async fn report_outcome(
        &self,
        endpoint: EndpointId,
        kind: AttemptKind,
        outcome: Outcome,
        over: bool,
        report: Vec<f32>,
        began: Instant,
    ) {
        let took: Micros = micros(began.elapsed());
        let event = match kind {
            AttemptKind::Attempt { id, attempt } => Event::AttemptEnded {
                id,
                attempt,
                endpoint,
                outcome,
                took,
                completed: over,
                report,
            },
            AttemptKind::HealthCheck => Event::HealthCheckEnded {
                endpoint,
                outcome,
                took,
                report,
            },
        };
        self.send_event(event).await;
    }

    async fn send_event(&self, event: Event) {
        if self
            .dispatcher
            .send(DispatcherCommand::Event(event))
            .await
            .is_err()
        {
            debug!(self.log, "an outcome came after the end");
        }
    }
}

/// What a call brought.
enum Came {
    Head(Response<Incoming>, Connection),
    /// A first line that says 200; the rest of the head never came, or was spoilt.
    Yes,
}

/// When a call is given up: not begun by the one, or not answered by the other.
struct Bounds {
    begin: Instant,
    end: Instant,
}

/// One call from its connection to the head of its answer.
async fn carry(
    endpoint: EndpointId,
    idle: Option<(Connection, Instant)>,
    call: Outgoing,
    context: &EndpointContext,
    bounds: Bounds,
    mut orders: watch::Receiver<StopRequest>,
) -> Result<Came, CallFault> {
    // The stream on which the call goes now.
    let (show, shown) = watch::channel::<Option<Arc<StreamState>>>(None);
    let show =
        |connection: &Connection| _ = show.send_replace(Some(connection.stream_state.clone()));
    let length = call.length;
    let too_late = CallFault {
        stage: Stage::Connecting,
        why: FailureCause::TooLate,
    };
    let in_time = || {
        if Instant::now() < bounds.begin {
            Ok(())
        } else {
            Err(too_late)
        }
    };
    let work = async {
        // An idle connection that took no byte of this call carries none of it: a new one begins it.
        if let Some((mut connection, since)) = idle {
            tokio::time::sleep_until(since + SETTLE).await;
            if connection.link.usable().await {
                in_time()?;
                show(&connection);
                match connection.send(call.clone()).await {
                    Ok(answer) => return Ok(Came::Head(answer, connection)),
                    Err(CallFault {
                        stage: Stage::Connecting,
                        ..
                    }) => {}
                    Err(fault) => return Err(fault),
                }
            }
        }
        // Guards rule 2: a connection that comes up late must not carry a repeat out of the window of the first attempt.
        in_time()?;
        let open = Connection::open(
            endpoint,
            Duration::from_micros(context.config.connect_within),
        );
        let mut connection = tokio::time::timeout_at(bounds.begin, open)
            .await
            .map_err(|_| too_late)??;
        in_time()?;
        show(&connection);
        let answer = connection.send(call).await?;
        Ok(Came::Head(answer, connection))
    };
    let stream_state = || shown.borrow().clone();
    let spoilt = async {
        let mut shown = shown.clone();
        loop {
            let now = shown.borrow_and_update().clone();
            let stuck = async {
                match &now {
                    Some(stream_state) => stream_state.stuck(HEAD_TIME).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = stuck => return,
                Ok(()) = shown.changed() => {} // another connection carries it
            }
        }
    };
    // Looked at in the same turn in which the work goes on: a call handed to a connection has no byte there before that.
    let whole = || stream_state().is_some_and(|s| s.sent() >= length);
    let ordered = async {
        while orders.changed().await.is_ok() {
            match *orders.borrow_and_update() {
                StopRequest::Cancel => return FailureCause::Cancelled,
                StopRequest::WithdrawUnsent if !whole() => return FailureCause::Withdrawn,
                StopRequest::WithdrawUnsent | StopRequest::Continue => {}
            }
        }
        pending().await
    };
    let mut work = pin!(work);
    let ended = tokio::select! {
        biased;
        ended = &mut work => Ok(ended),
        () = tokio::time::sleep_until(bounds.end) => Err(FailureCause::OutOfTime),
        why = ordered => Err(why),
        () = spoilt => Err(FailureCause::Broken),
    };
    // Dropping the work closes its connection: that is how a call is given up.
    let gone = |why| {
        let begun = stream_state().is_some_and(|s| s.answer() != AnswerProgress::Unasked);
        let stage = if begun {
            Stage::Written
        } else {
            Stage::Connecting
        };
        Err(CallFault { stage, why })
    };
    let ended = match ended {
        Ok(ended) => ended,
        // Guards a wait against a call given up as its answer comes: what is in the socket by now counts. One that has not
        // gone whole has no answer, and is not to go on.
        Err(why @ (FailureCause::OutOfTime | FailureCause::Cancelled)) if whole() => {
            tokio::select! {
                biased;
                ended = &mut work => ended,
                () = last_look() => gone(why),
            }
        }
        Err(why) => gone(why),
    };
    // A first line that says 200 is true, whatever came of the rest.
    match ended {
        Err(_) if stream_state().is_some_and(|s| s.answer() == AnswerProgress::Says(200)) => {
            Ok(Came::Yes)
        }
        ended => ended,
    }
}

/// Lets the runtime read its sockets once more, and those run whom that concerns.
async fn last_look() {
    for _ in 0..2 {
        tokio::task::yield_now().await;
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
