//! The clients' side: connections, and a tower service for the requests on them.

use crate::commands::{SubmissionAnswer, SubmissionRequest};
use crate::protocol::{
    decode_head, encode_retry_after, InvalidRequest, SubmissionRequirements, MAX_BODY_BYTES,
    READ_BUFFER_BYTES, UP,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use opalpulley::{Config, DeliveryClassConfig, DeliverySemantics};
use opalpulley_config::Names;
use slog::{debug, error, warn, Logger};
use socket2::SockRef;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io::{self, Read};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::task::{Id, JoinSet};
use tokio::time::Instant;
use tower::Service;

const HEAD_TIME: Duration = Duration::from_millis(2100); // from connecting, or the last answer, to the end of a head
const BODY_TIME: Duration = Duration::from_millis(700); // from there to the end of its body: clients wait 400 ms for both
const SHORT: Duration = Duration::from_secs(1); // for both where the connection serves only to say that all are taken
const CROWDED: usize = 8; // one connection in so many is kept to answer that all others are taken
const IDLE_PART: usize = 4; // one connection in so many may stand idle: clients that share a bound need the others
const RETRY_ACCEPT: Duration = Duration::from_millis(20); // after accepting failed: descriptors may come free

/// What all connections share.
pub struct SubmissionService {
    pub names: Names,
    /// For each profile, what a message needs.
    pub requirements: Vec<SubmissionRequirements>,
    pub ready: Arc<AtomicBool>,
    pub closing: AtomicBool,
    pub dispatcher: mpsc::Sender<SubmissionRequest>,
    pub log: Logger,
}

impl SubmissionService {
    pub fn new(
        names: Names,
        config: &Config,
        dispatcher: mpsc::Sender<SubmissionRequest>,
        log: Logger,
    ) -> SubmissionService {
        let requirements = |(name, row): (&String, &DeliveryClassConfig)| SubmissionRequirements {
            name: name.clone(),
            marked: matches!(row.semantics, DeliverySemantics::IdempotencyKeyed { .. }),
            longest: row.time_to_live,
        };
        let requirements = names
            .classes
            .iter()
            .zip(&config.classes)
            .map(requirements)
            .collect();
        SubmissionService {
            names,
            requirements,
            ready: Arc::default(),
            closing: AtomicBool::new(false),
            dispatcher,
            log,
        }
    }

    async fn answer(&self, request: Request<Incoming>, crowded: bool) -> Response<Full<Bytes>> {
        let answer = match request.uri().path() {
            UP => self.up(request.method()),
            _ if crowded => {
                // An answer that goes out before the request is in may be lost with what was not read.
                let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
                drop(tokio::time::timeout(SHORT, body).await);
                Err(busy("all connections are taken"))
            }
            _ => self.take(request).await,
        };
        let last = answer.as_ref().is_err_and(|bad| bad.last);
        let mut answer = answer.unwrap_or_else(|InvalidRequest { status, reason, .. }| {
            let mut answer = Response::new(Full::from(reason + "\n"));
            *answer.status_mut() = status;
            if status == StatusCode::METHOD_NOT_ALLOWED {
                answer
                    .headers_mut()
                    .insert(ALLOW, HeaderValue::from_static("POST"));
            }
            answer
        });
        if last || crowded || self.closing.load(Ordering::Relaxed) {
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    fn up(&self, method: &Method) -> Result<Response<Full<Bytes>>, InvalidRequest> {
        match (method, self.ready.load(Ordering::Relaxed)) {
            (&Method::GET, true) => Ok(Response::new(Full::default())),
            (&Method::GET, false) => Err(busy("not ready yet")),
            _ => Err(InvalidRequest::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "this is read with GET",
            )),
        }
    }

    async fn take(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, InvalidRequest> {
        let too_large = || {
            InvalidRequest::last(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("a body holds {MAX_BODY_BYTES} bytes at most"),
            )
        };
        let (head, body) = request.into_parts();
        let mut submitted = decode_head(&head, &self.names, &self.requirements)?;
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(too_large());
        }
        let body =
            tokio::time::timeout(BODY_TIME, Limited::new(body, MAX_BODY_BYTES).collect()).await;
        submitted.body = match body {
            // A copy of its own: a small body would keep all that was read with it.
            Ok(Ok(body)) => Bytes::copy_from_slice(&body.to_bytes()),
            Ok(Err(problem)) if problem.is::<LengthLimitError>() => return Err(too_large()),
            Ok(Err(problem)) => {
                return Err(InvalidRequest::last(
                    StatusCode::BAD_REQUEST,
                    problem.to_string(),
                ))
            }
            Err(_) => {
                return Err(InvalidRequest::last(
                    StatusCode::REQUEST_TIMEOUT,
                    "the body did not come",
                ))
            }
        };
        if !self.ready.load(Ordering::Relaxed) {
            return Err(busy("not ready yet"));
        }
        let (answer, answered) = oneshot::channel();
        let received_at = Instant::now();
        self.dispatcher
            .try_send(SubmissionRequest {
                submitted,
                received_at,
                answer,
            })
            .map_err(|_| busy("too many packets at once"))?;
        // The actor that ends the process drops what it has not read: that was not taken on.
        let answer = answered.await.map_err(|_| busy("going down"))?;
        let mut response = Response::new(Full::default());
        *response.status_mut() = match answer {
            SubmissionAnswer::Accepted => StatusCode::ACCEPTED,
            SubmissionAnswer::Rejected { .. } | SubmissionAnswer::NoCapacity => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            SubmissionAnswer::Failed => StatusCode::GATEWAY_TIMEOUT,
            SubmissionAnswer::ConflictingContent => {
                let reason = "another packet with this id is open";
                return Err(InvalidRequest::new(StatusCode::CONFLICT, reason));
            }
            // The list may be older than the client's: coming again does no harm.
            SubmissionAnswer::UnknownDestination => {
                return Err(busy("no list has named this destination"))
            }
        };
        if let SubmissionAnswer::Rejected {
            retry_after: Some(retry_after),
        } = answer
        {
            if let Ok(value) = HeaderValue::from_str(&encode_retry_after(retry_after)) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        Ok(response)
    }
}

fn busy(reason: &str) -> InvalidRequest {
    InvalidRequest::new(StatusCode::SERVICE_UNAVAILABLE, reason)
}

/// How one connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Nothing has come on it yet.
    Silent,
    /// It has had a request, and no byte of another.
    Idle,
    /// A head has begun and not ended.
    Head,
    /// A head is in, and its answer is not out.
    Busy,
}

/// How one connection stands and since which turn. Whoever closes it waits for the request under way.
struct Presence {
    state: Mutex<(Phase, u64)>,
    closed: AtomicBool,
    close: Notify,
    turn: Arc<AtomicU64>,
}

impl Presence {
    fn new(turn: Arc<AtomicU64>) -> Presence {
        let since = turn.fetch_add(1, Ordering::Relaxed);
        let state = Mutex::new((Phase::Silent, since));
        Presence {
            state,
            closed: AtomicBool::new(false),
            close: Notify::new(),
            turn,
        }
    }

    fn state(&self) -> (Phase, u64) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is(&self, phase: Phase) {
        let since = self.turn.fetch_add(1, Ordering::Relaxed);
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = (phase, since);
    }

    /// Bytes have come: the beginning of a head, where none is under way.
    fn heard(&self) {
        if let Phase::Silent | Phase::Idle = self.state().0 {
            self.is(Phase::Head);
        }
    }

    fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        self.close.notify_one();
    }
}

/// A client's stream, which tells that bytes have come. It asks the socket itself, for the runtime hears of bytes only as it
/// rests: whoever closes a connection must see the request that lies in it unread.
struct Heard {
    stream: TcpStream,
    presence: Arc<Presence>,
}

impl Heard {
    fn look(&self, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match (&*SockRef::from(&self.stream)).read(buf.initialize_unfilled()) {
            Ok(n) => {
                buf.advance(n);
                Poll::Ready(Ok(()))
            }
            Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            Err(problem) => Poll::Ready(Err(problem)),
        }
    }
}

impl AsyncRead for Heard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Pending => self.look(buf),
            ready => ready,
        };
        if buf.filled().len() > before {
            self.presence.heard();
        }
        poll
    }
}

impl AsyncWrite for Heard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The requests of one connection.
#[derive(Clone)]
struct ConnectionService {
    submission_service: Arc<SubmissionService>,
    presence: Arc<Presence>,
    crowded: bool,
}

/// Marks a connection as idle again, however its request ended.
struct Busy(Arc<Presence>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.is(Phase::Idle);
    }
}

impl Service<Request<Incoming>> for ConnectionService {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        self.presence.is(Phase::Busy);
        let busy = Busy(self.presence.clone());
        let (submission_service, crowded) = (self.submission_service.clone(), self.crowded);
        Box::pin(async move {
            let answer = submission_service.answer(request, crowded).await;
            drop(busy);
            Ok(answer)
        })
    }
}

/// Accepts clients, `most` at once, until `closing` says that no new ones come.
pub struct Clients {
    pub submission_service: Arc<SubmissionService>,
    pub most: usize,
    pub closing: watch::Receiver<Closing>,
}

/// How far the end of the process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum Closing {
    No,
    /// Connections are closed as they fall idle; new ones still come.
    Leaving,
    /// No new ones come.
    Shut,
}

impl Clients {
    pub async fn run(mut self, listener: TcpListener) {
        let mut tasks: JoinSet<()> = JoinSet::new();
        let mut present: BTreeMap<Id, Arc<Presence>> = BTreeMap::new(); // each leaves with its connection
        let turn = Arc::new(AtomicU64::new(0));
        let mut listener = Some(listener);
        loop {
            let room = tasks.len() < self.most;
            let accept = async {
                match &listener {
                    Some(listener) if room => listener.accept().await,
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                accepted = accept => match accepted {
                    Ok((stream, _)) => {
                        self.admit(stream, &turn, &mut tasks, &mut present);
                    }
                    Err(problem) => {
                        warn!(self.submission_service.log, "a client can't be accepted"; "problem" => %problem);
                        tokio::time::sleep(RETRY_ACCEPT).await;
                    }
                },
                Some(done) = tasks.join_next_with_id(), if !tasks.is_empty() => {
                    let id = match done {
                        Ok((id, ())) => id,
                        Err(problem) => {
                            error!(self.submission_service.log, "a client's connection broke off"; "problem" => %problem);
                            problem.id()
                        }
                    };
                    present.remove(&id);
                }
                Ok(()) = self.closing.changed() => {
                    let stage = *self.closing.borrow_and_update();
                    if stage >= Closing::Leaving {
                        self.submission_service.closing.store(true, Ordering::Relaxed);
                        present.values().filter(|p| p.state().0 == Phase::Idle).for_each(|p| p.close());
                    }
                    if stage == Closing::Shut {
                        // Guards those that stand in line: they would be reset with the listener, unheard.
                        let room = self.most.saturating_sub(tasks.len());
                        for stream in listener.take().into_iter().flat_map(in_line).take(room) {
                            self.admit(stream, &turn, &mut tasks, &mut present);
                        }
                    }
                }
            }
        }
    }

    fn admit(
        &self,
        stream: TcpStream,
        turn: &Arc<AtomicU64>,
        tasks: &mut JoinSet<()>,
        present: &mut BTreeMap<Id, Arc<Presence>>,
    ) {
        let full = tasks.len() >= self.most - self.most / CROWDED;
        let crowded = full && !Self::close_one(present);
        Self::close_idle(present, self.most / IDLE_PART);
        let presence = Arc::new(Presence::new(turn.clone()));
        let desk = ConnectionService {
            submission_service: self.submission_service.clone(),
            presence: presence.clone(),
            crowded,
        };
        let task = tasks.spawn(serve(stream, desk));
        present.insert(task.id(), presence);
    }

    /// Guards clients that may hold only so many connections together against those among them that ask once and
    /// keep theirs for good: beyond `most` idle ones, those idle longest are closed.
    fn close_idle(present: &BTreeMap<Id, Arc<Presence>>, most: usize) {
        let idle =
            |p: &&Arc<Presence>| p.state().0 == Phase::Idle && !p.closed.load(Ordering::Relaxed);
        for _ in most..present.values().filter(idle).count() {
            let longest = present.values().filter(idle).min_by_key(|p| p.state());
            longest.into_iter().for_each(|presence| presence.close());
        }
    }

    /// Guards new clients against those that keep connections and seldom use them, or never: closes the one that has
    /// been silent longest, else idle, else within a head. One with a request fully in is never closed (rule 1).
    fn close_one(present: &BTreeMap<Id, Arc<Presence>>) -> bool {
        let open = present
            .values()
            .filter(|p| !p.closed.load(Ordering::Relaxed))
            .map(|p| (p.state(), p));
        let least = open
            .min_by_key(|(state, _)| *state)
            .filter(|((phase, _), _)| *phase != Phase::Busy);
        least.map(|(_, presence)| presence.close()).is_some()
    }
}

/// The connections that a listener has taken and nobody has accepted; with the last of them it is closed.
fn in_line(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || {
        let (stream, _) = listener.as_ref()?.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}

async fn serve(stream: TcpStream, desk: ConnectionService) {
    let (log, presence) = (desk.submission_service.log.clone(), desk.presence.clone());
    let head_time = if desk.crowded { SHORT } else { HEAD_TIME };
    if let Err(problem) = stream.set_nodelay(true) {
        debug!(log, "a connection is gone"; "problem" => %problem);
    }
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_time)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(
            TokioIo::new(Heard {
                stream,
                presence: presence.clone(),
            }),
            TowerToHyperService::new(desk),
        );
    tokio::pin!(connection);
    let ended = tokio::select! {
        biased; // what has come is read first
        ended = &mut connection => ended,
        () = presence.close.notified() => match presence.state().0 {
            Phase::Silent | Phase::Head => return,
            Phase::Idle | Phase::Busy => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        },
    };
    if let Err(problem) = ended {
        debug!(log, "a client's connection ended early"; "problem" => %problem);
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
