//! Each way in which a call can end, against a stand-in on a socket of this machine.

use super::*;
use bytes::Bytes;
use opalpulley::Outcome;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const IDLE: Micros = 400_000;

struct Rig {
    listener: TcpListener,
    mailbox: mpsc::Sender<EndpointCommand>,
    notes: mpsc::Receiver<DispatcherCommand>,
    attempts: u8,
}

impl Rig {
    async fn new() -> Rig {
        Rig::prepared(|_| {}).await
    }

    /// With something done to the actor before it runs.
    async fn prepared(prepare: impl FnOnce(&mut Endpoint)) -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = listener.local_addr().expect("its address").port();
        let (dispatcher, notes) = mpsc::channel(16);
        let (mailbox, inbox) = mpsc::channel(16);
        let context = EndpointContext {
            config: ConnectionConfig {
                idle_closed_after: IDLE,
                connect_within: 300_000,
            },
            names: Names {
                classes: Vec::new(),
                tenants: Vec::new(),
                zones: Vec::new(),
                endpoint_kinds: Vec::new(),
                reports: vec!["x0".into()],
            },
            idle: Arc::new(Semaphore::new(4)),
            dispatcher,
            log: Logger::root(slog::Discard, slog::o!()),
        };
        let id = EndpointId {
            address: [127, 0, 0, 1],
            port,
            incarnation: 0,
        };
        let mut endpoint = Endpoint::new(id, Arc::new(context));
        prepare(&mut endpoint);
        tokio::spawn(endpoint.run(inbox));
        Rig {
            listener,
            mailbox,
            notes,
            attempts: 0,
        }
    }

    async fn call(&mut self, body: &Bytes, limit: u64) {
        self.call_begun(body, limit, limit).await;
    }

    async fn call_begun(&mut self, body: &Bytes, limit: u64, begin_within: u64) {
        let call = AttemptRequest {
            id: MessageId(1),
            attempt: self.attempts,
            request_id: "9b1f03aa5c7e2d41".into(),
            idempotency_key: Some("5c0f6e1a".into()),
            body: body.clone(),
            timeout: Duration::from_millis(limit),
            send_by: Instant::now() + Duration::from_millis(begin_within),
        };
        self.attempts += 1;
        self.mailbox
            .send(EndpointCommand::StartAttempt(Box::new(call)))
            .await
            .expect("the actor runs");
    }

    async fn outcome(&mut self) -> (Outcome, bool) {
        let wait = tokio::time::timeout(Duration::from_secs(5), self.notes.recv());
        match wait.await.expect("in time").expect("a note") {
            DispatcherCommand::Event(Event::AttemptEnded {
                outcome,
                completed: closed,
                attempt,
                ..
            }) => {
                assert_eq!(attempt + 1, self.attempts);
                (outcome, closed)
            }
            DispatcherCommand::Event(Event::HealthCheckEnded { outcome, .. }) => (outcome, false),
            _ => panic!("another note"),
        }
    }

    async fn order(&self, note: EndpointCommand) {
        self.mailbox.send(note).await.expect("the actor runs");
    }

    async fn take_back(&mut self) {
        self.order(EndpointCommand::WithdrawUnsent).await;
        assert_eq!(self.outcome().await, (Outcome::WithdrawnBeforeSend, false));
    }

    /// Connections beyond the backlog stay unanswered, as those to a machine that is cut off, until these are accepted.
    async fn fill_the_backlog(&self) -> Vec<TcpStream> {
        SockRef::from(&self.listener)
            .listen(0)
            .expect("a short line");
        let address = self.listener.local_addr().expect("its address");
        let mut before = Vec::new();
        while let Ok(stream) =
            tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(address)).await
        {
            before.push(stream.expect("a connection"));
        }
        before
    }

    async fn accept(&self) -> TcpStream {
        self.listener.accept().await.expect("a connection").0
    }
}

/// Reads one call with the body that it announces, and gives all its bytes.
async fn read_call(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some(head) = text.find("\r\n\r\n") {
            let length = text
                .lines()
                .find_map(|l| l.strip_prefix("content-length: ")?.parse::<usize>().ok());
            if bytes.len() == head + 4 + length.unwrap_or(0) {
                return bytes;
            }
        }
        if stream.read_buf(&mut bytes).await.expect("readable") == 0 {
            return bytes;
        }
    }
}

async fn closed(stream: &mut TcpStream) -> bool {
    let mut rest = [0; 64];
    let end = stream.read(&mut rest);
    matches!(
        tokio::time::timeout(Duration::from_secs(2), end).await,
        Ok(Ok(0) | Err(_))
    )
}

#[tokio::test]
async fn a_call_goes_on_unchanged_and_its_length_is_known_to_the_byte() {
    let mut rig = Rig::new().await;
    for body in [Bytes::new(), Bytes::from_static(b"any \0 bytes\r\n\r\n")] {
        rig.call(&body, 1500).await;
        let mut stream = rig.accept().await;
        let bytes = read_call(&mut stream).await;
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        assert!(text.starts_with("post /inbox http/1.1\r\n"));
        for line in [
            "request-id: 9b1f03aa5c7e2d41",
            "idempotency-key: 5c0f6e1a",
            "request-timeout-ms: 1500",
        ] {
            assert!(
                text.contains(&format!("\r\n{line}\r\n")),
                "{line} in {text}"
            );
        }
        assert!(bytes.ends_with(&body));
        let port = rig.listener.local_addr().expect("its address").port();
        let endpoint = EndpointId {
            address: [127, 0, 0, 1],
            port,
            incarnation: 0,
        };
        let limit = Duration::from_millis(1500);
        let call =
            protocol::encode_call(endpoint, "9b1f03aa5c7e2d41", Some("5c0f6e1a"), limit, &body)
                .expect("a call");
        assert_eq!(call.length, bytes.len() as u64);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
            .await
            .expect("sent");
        assert_eq!(rig.outcome().await, (Outcome::Delivered, true));
    }
}

#[tokio::test]
async fn each_answer_has_its_outcome() {
    let mut rig = Rig::new().await;
    let wait = |ms: u64| Outcome::Rejected {
        retry_after: Some(ms * 1000),
    };
    let answers = [
        ("200 OK", Outcome::Delivered, true),
        ("500 Oops", Outcome::Error, false),
        ("429 Wait\r\nWait-Ms: 250", wait(250), false),
        ("429 Wait", Outcome::Rejected { retry_after: None }, false),
        ("503 Full", Outcome::Rejected { retry_after: None }, false),
        (
            "503 Slots\r\nSlots-Taken: 1",
            Outcome::NotAttempted { no_permit: true },
            false,
        ),
        (
            "504 Used",
            Outcome::NotAttempted { no_permit: false },
            false,
        ),
        ("410 Over", Outcome::NotAttempted { no_permit: false }, true),
        ("400 What", Outcome::Error, false),
    ];
    rig.call(&Bytes::new(), 1000).await;
    let mut stream = rig.accept().await;
    for (n, (line, outcome, over)) in answers.iter().enumerate() {
        if n > 0 {
            rig.call(&Bytes::new(), 1000).await; // on the same connection: it is kept
        }
        read_call(&mut stream).await;
        stream
            .write_all(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").as_bytes())
            .await
            .expect("sent");
        assert_eq!(rig.outcome().await, (*outcome, *over), "{line}");
        tokio::time::sleep(Duration::from_millis(20)).await; // until the connection is idle again
    }
}

/// Guards rule 2: a call that can't have run and one that may have are told apart by what was written.
#[tokio::test]
async fn a_broken_connection_is_a_reset_only_after_the_last_byte() {
    let mut rig = Rig::new().await;
    rig.call(&Bytes::from_static(b"body"), 1000).await;
    let mut stream = rig.accept().await;
    read_call(&mut stream).await;
    drop(stream);
    assert_eq!(rig.outcome().await, (Outcome::Reset, false));
    // So large that it is not written whole to an endpoint that reads nothing.
    rig.call(&Bytes::from(vec![7; 32 << 20]), 5000).await;
    let stream = rig.accept().await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(stream);
    assert_eq!(rig.outcome().await, (Outcome::NoConnection, false));
    let Rig {
        listener,
        mailbox,
        notes,
        attempts,
    } = rig;
    let address = listener.local_addr().expect("its address");
    drop(listener);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    assert_ne!(listener.local_addr().expect("its address"), address);
    let mut rig = Rig {
        listener,
        mailbox,
        notes,
        attempts,
    };
    rig.call(&Bytes::new(), 1000).await;
    assert_eq!(rig.outcome().await, (Outcome::NoConnection, false));
}

#[tokio::test]
async fn a_call_given_up_closes_its_connection() {
    let mut rig = Rig::new().await;
    rig.call(&Bytes::new(), 100).await;
    let mut stream = rig.accept().await;
    read_call(&mut stream).await;
    assert_eq!(rig.outcome().await, (Outcome::Timeout, false));
    assert!(closed(&mut stream).await);
    rig.call(&Bytes::new(), 60_000).await;
    let mut stream = rig.accept().await;
    read_call(&mut stream).await;
    rig.mailbox
        .send(EndpointCommand::Cancel {
            id: MessageId(1),
            attempt: 1,
        })
        .await
        .expect("the actor runs");
    assert_eq!(rig.outcome().await, (Outcome::Cancelled, false));
    assert!(closed(&mut stream).await);
}

/// Guards against resets of calls that cross the endpoint's own closing, and against a second copy on a new connection.
#[tokio::test]
async fn idle_connections_are_retired_first_and_dead_ones_are_not_used() {
    let mut rig = Rig::new().await;
    rig.call(&Bytes::new(), 1000).await;
    let mut first = rig.accept().await;
    read_call(&mut first).await;
    first.write_all(OK).await.expect("sent");
    assert_eq!(rig.outcome().await, (Outcome::Delivered, true));
    let begun = Instant::now();
    assert!(closed(&mut first).await);
    assert!(begun.elapsed() < Duration::from_micros(IDLE));
    // One that the endpoint has closed is left alone: the call goes out once, on a new one.
    rig.call(&Bytes::new(), 1000).await;
    let mut second = rig.accept().await;
    read_call(&mut second).await;
    second.write_all(OK).await.expect("sent");
    assert_eq!(rig.outcome().await, (Outcome::Delivered, true));
    tokio::time::sleep(Duration::from_millis(20)).await;
    drop(second);
    tokio::time::sleep(Duration::from_millis(20)).await;
    rig.call(&Bytes::new(), 1000).await;
    let mut third = rig.accept().await;
    read_call(&mut third).await;
    third.write_all(OK).await.expect("sent");
    assert_eq!(rig.outcome().await, (Outcome::Delivered, true));
    rig.mailbox
        .send(EndpointCommand::CloseIdle)
        .await
        .expect("the actor runs");
    assert!(closed(&mut third).await);
}

#[tokio::test]
async fn an_answer_counts_by_its_first_line_whatever_becomes_of_the_rest() {
    let mut rig = Rig::new().await;
    rig.call(&Bytes::new(), 5000).await;
    let mut stream = rig.accept().await;
    read_call(&mut stream).await;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
        .await
        .expect("sent");
    assert_eq!(rig.outcome().await, (Outcome::Delivered, true));
    assert!(closed(&mut stream).await); // such a connection serves no more
}

/// Guards rules 1 and 2 against spoilt answers: only a first line that says 200 is true; that a message did not run is
/// believed of a whole answer alone. 1xx heads ahead, 101 too, change nothing.
#[tokio::test]
async fn a_spoilt_answer_may_have_run_unless_its_first_line_says_200() {
    let full = Outcome::Rejected { retry_after: None };
    let early = "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n";
    let cases = [
        (
            "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n".to_owned(),
            Outcome::Delivered,
            false,
        ),
        (
            "HTTP/1.1 200 OK\r\nX: without an end".to_owned(),
            Outcome::Delivered,
            false,
        ),
        (
            format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(100_000)),
            Outcome::Delivered,
            false,
        ),
        (
            "HTTP/1.1 503 Full\r\nContent-Length: 5\r\n\r\nab".to_owned(),
            Outcome::Reset,
            false,
        ),
        (
            "HTTP/1.1 503 Full\r\nX: without an end".to_owned(),
            Outcome::Reset,
            false,
        ),
        (
            format!(
                "HTTP/1.1 429 W\r\nContent-Length: 3000000000\r\n\r\n{}",
                "x".repeat(100_000)
            ),
            Outcome::Reset,
            false,
        ),
        (
            "HTTP/1.1 410 Over\r\nContent-Length: -1\r\n\r\n".to_owned(),
            Outcome::Reset,
            false,
        ),
        (
            "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n".to_owned(),
            Outcome::Reset,
            false,
        ),
        ("\0\u{1}noise\r\n\r\n".to_owned(), Outcome::Reset, false),
        ("HTT".to_owned(), Outcome::Reset, false),
        ("HTTP/1.1 200 O".to_owned(), Outcome::Reset, false),
        (
            format!("HTTP/1.1 200 {}\r\n\r\n", "x".repeat(100_000)),
            Outcome::Reset,
            false,
        ),
        (
            format!("{early}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            Outcome::Delivered,
            true,
        ),
        (
            format!("{early}HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno"),
            full,
            true,
        ),
    ];
    for (text, outcome, serves_on) in cases {
        let mut rig = Rig::new().await;
        rig.call(&Bytes::new(), 20_000).await;
        let mut stream = rig.accept().await;
        read_call(&mut stream).await;
        let begun = Instant::now();
        // Where the other side has seen enough it closes.
        let _ = stream.write_all(text.as_bytes()).await;
        let shown: String = text.chars().take(60).collect();
        assert_eq!(
            rig.outcome().await,
            (outcome, outcome == Outcome::Delivered),
            "{shown}"
        );
        assert!(begun.elapsed() < Duration::from_secs(1), "{shown}");
        if serves_on {
            rig.call(&Bytes::new(), 1000).await;
            assert!(!read_call(&mut stream).await.is_empty(), "{shown}");
        } else {
            assert!(closed(&mut stream).await, "{shown}");
        }
    }
}

/// Guards rule 1: what comes behind an answer never answers the next call, however close that follows.
#[tokio::test]
async fn bytes_behind_an_answer_are_no_answer() {
    for gap in [0, 1] {
        let mut rig = Rig::new().await;
        rig.call(&Bytes::new(), 1000).await;
        let mut first = rig.accept().await;
        read_call(&mut first).await;
        first.write_all(OK).await.expect("sent");
        if gap > 0 {
            assert_eq!(rig.outcome().await, (Outcome::Delivered, true));
            rig.call(&Bytes::new(), 1000).await;
            tokio::time::sleep(Duration::from_millis(gap)).await;
            first.write_all(OK).await.expect("sent");
        } else {
            first.write_all(OK).await.expect("sent");
            assert_eq!(rig.outcome().await, (Outcome::Delivered, true));
            rig.call(&Bytes::new(), 1000).await;
        }
        let mut second = rig.accept().await; // not on the first one
        read_call(&mut second).await;
        second
            .write_all(b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n")
            .await
            .expect("sent");
        assert_eq!(
            rig.outcome().await,
            (Outcome::Rejected { retry_after: None }, false)
        );
        assert!(closed(&mut first).await);
    }
}

/// Guards a call against the rest of a connection that has just served, where another has settled.
#[tokio::test]
async fn a_settled_connection_is_taken_first() {
    let mut rig = Rig::new().await;
    rig.call(&Bytes::new(), 1000).await;
    let mut first = rig.accept().await;
    rig.call(&Bytes::new(), 1000).await;
    let mut second = rig.accept().await;
    for stream in [&mut first, &mut second] {
        tokio::time::sleep(Duration::from_millis(30)).await;
        read_call(stream).await;
        stream.write_all(OK).await.expect("sent");
        let Some(DispatcherCommand::Event(Event::AttemptEnded { outcome, .. })) =
            rig.notes.recv().await
        else {
            panic!("no end")
        };
        assert_eq!(outcome, Outcome::Delivered);
    }
    tokio::time::sleep(Duration::from_millis(1)).await; // until the second is idle too
    rig.call(&Bytes::new(), 1000).await;
    assert!(!read_call(&mut first).await.is_empty());
}

#[tokio::test]
async fn a_health_check_asks_for_life() {
    let mut rig = Rig::new().await;
    for (line, outcome) in [
        ("200 OK", Outcome::Delivered),
        ("503 No", Outcome::Rejected { retry_after: None }),
    ] {
        rig.mailbox
            .send(EndpointCommand::HealthCheck)
            .await
            .expect("the actor runs");
        let mut stream = rig.accept().await;
        assert!(read_call(&mut stream)
            .await
            .starts_with(b"GET /alive HTTP/1.1\r\n"));
        let answer = format!("HTTP/1.1 {line}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.expect("sent");
        assert_eq!(rig.outcome().await.0, outcome);
    }
}

/// A repeat that is to begin within a time puts no byte on a connection after it: neither on one that comes up late nor on
/// one that it finds open.
#[tokio::test]
async fn a_call_that_can_not_begin_in_time_is_not_sent() {
    let mut rig = Rig::new().await;
    let before = rig.fill_the_backlog().await;
    rig.call_begun(&Bytes::from_static(b"late"), 1500, 100)
        .await;
    assert_eq!(
        rig.outcome().await,
        (Outcome::NotAttempted { no_permit: false }, false)
    );
    for _ in 0..before.len() {
        rig.accept().await;
    }

    rig.call(&Bytes::from_static(b"in time"), 1500).await;
    let mut stream = rig.accept().await;
    read_call(&mut stream).await;
    stream.write_all(OK).await.expect("sent");
    assert_eq!(rig.outcome().await, (Outcome::Delivered, true));
    rig.call_begun(&Bytes::from_static(b"late"), 1500, 0).await;
    assert_eq!(
        rig.outcome().await,
        (Outcome::NotAttempted { no_permit: false }, false)
    );
    let mut byte = [0];
    let none = tokio::time::timeout(Duration::from_millis(100), stream.read(&mut byte)).await;
    assert!(
        !matches!(none, Ok(Ok(1))),
        "a byte of a call that was too late"
    );
}

/// On a day with lowered limits a wait was told while a connection came up, and the call went out on it all the same.
#[tokio::test]
async fn a_call_or_health_check_is_taken_back_until_its_last_byte_has_gone() {
    let mut rig = Rig::new().await;
    let before = rig.fill_the_backlog().await;
    rig.call(&Bytes::from_static(b"chosen before"), 1500).await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    rig.take_back().await;
    rig.order(EndpointCommand::HealthCheck).await;
    rig.take_back().await;
    for _ in before {
        rig.accept().await;
    }
    // Half written, to an endpoint that reads nothing.
    rig.call(&Bytes::from(vec![7; 32 << 20]), 5000).await;
    let mut half = rig.accept().await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    rig.take_back().await;
    let mut received_at = 0;
    while let Ok(1..) = half
        .read(&mut vec![0; 1 << 20])
        .await
        .inspect(|n| received_at += n)
    {}
    assert!(received_at < 32 << 20, "it came whole");
    // What has gone whole goes on, also on a connection that has carried others, and can be cancelled still.
    rig.call(&Bytes::from_static(b"gone"), 1500).await;
    let mut stream = rig.accept().await;
    read_call(&mut stream).await;
    rig.order(EndpointCommand::WithdrawUnsent).await;
    stream.write_all(OK).await.expect("sent");
    assert_eq!(rig.outcome().await, (Outcome::Delivered, true));
    tokio::time::sleep(Duration::from_millis(20)).await;
    rig.call(&Bytes::from_static(b"gone"), 1500).await;
    read_call(&mut stream).await;
    for note in [
        EndpointCommand::WithdrawUnsent,
        EndpointCommand::Cancel {
            id: MessageId(1),
            attempt: 3,
        },
        EndpointCommand::WithdrawUnsent,
    ] {
        rig.order(note).await;
    }
    assert_eq!(rig.outcome().await, (Outcome::Cancelled, false));
    assert!(closed(&mut stream).await);
}

/// A wait binds from when the head of its answer is in: the body may be late, spoilt or cut off, the status another.
#[tokio::test]
async fn a_wait_counts_from_its_head_whatever_comes_of_the_rest() {
    let cases = [
        (
            "429 W",
            "4\r\n\r\n",
            "late",
            Outcome::Rejected {
                retry_after: Some(700_000),
            },
        ),
        ("429 W", "4\r\n\r\n", "", Outcome::Reset),
        ("429 W", "3000000000\r\n\r\nxx", "", Outcome::Reset),
        (
            "503 F",
            "4\r\n\r\n",
            "late",
            Outcome::Rejected { retry_after: None },
        ),
        ("500 E", "0\r\n\r\n", "", Outcome::Error),
    ];
    for (status, rest, late, outcome) in cases {
        let mut rig = Rig::new().await;
        rig.call(&Bytes::new(), 20_000).await;
        let mut stream = rig.accept().await;
        read_call(&mut stream).await;
        let head = format!("HTTP/1.1 {status}\r\nWait-Ms: 700\r\nContent-Length: {rest}");
        stream.write_all(head.as_bytes()).await.expect("sent");
        // Within the protocol's time for it, well before the rest is waited for in vain.
        let told = tokio::time::timeout(Duration::from_millis(100), rig.notes.recv()).await;
        assert!(
            matches!(
                told,
                Ok(Some(DispatcherCommand::Event(Event::RetryAfterReceived {
                    retry_after: 700_000,
                    ..
                })))
            ),
            "{head}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream.write_all(late.as_bytes()).await.expect("sent");
        stream.shutdown().await.expect("cut off");
        assert_eq!(rig.outcome().await, (outcome, false), "{head}");
    }
}

/// A call given up in the moment in which its answer comes once closed its connection on a wait unread.
#[tokio::test]
async fn an_answer_in_the_socket_counts_before_the_call_is_given_up() {
    let mut rig = Rig::new().await;
    rig.call(&Bytes::new(), 20_000).await;
    let mut stream = rig.accept().await;
    read_call(&mut stream).await;
    stream
        .try_write(b"HTTP/1.1 429 W\r\nWait-Ms: 700\r\nContent-Length: 0\r\n\r\n")
        .expect("sent");
    rig.mailbox
        .try_send(EndpointCommand::Cancel {
            id: MessageId(1),
            attempt: 0,
        })
        .expect("room");
    assert_eq!(
        rig.outcome().await,
        (
            Outcome::Rejected {
                retry_after: Some(700_000)
            },
            false
        )
    );
}

/// Guards rule 1: half a line that comes in the moment in which a call is given up is no answer, whatever it begins with.
#[tokio::test]
async fn half_a_line_in_the_socket_is_no_answer() {
    let mut rig = Rig::new().await;
    rig.call(&Bytes::new(), 20_000).await;
    let mut stream = rig.accept().await;
    read_call(&mut stream).await;
    stream.try_write(b"HTTP/1.1 200 OK\r").expect("sent");
    rig.mailbox
        .try_send(EndpointCommand::Cancel {
            id: MessageId(1),
            attempt: 0,
        })
        .expect("room");
    assert_eq!(rig.outcome().await, (Outcome::Cancelled, false));
}

/// Guards a message against a fault in this program that ends its call: the call may have run, and the actor goes on.
#[tokio::test]
async fn a_call_whose_task_panics_may_have_run() {
    let mut rig = Rig::prepared(|endpoint| {
        let task = endpoint.tasks.spawn(async { panic!("as a fault would") });
        let (orders, _) = watch::channel(StopRequest::Continue);
        let kind = AttemptKind::Attempt {
            id: MessageId(1),
            attempt: 0,
        };
        endpoint.in_flight.insert(
            task.id(),
            InFlight {
                kind,
                began: Instant::now(),
                orders,
            },
        );
    })
    .await;
    rig.attempts = 1;
    assert_eq!(rig.outcome().await, (Outcome::Reset, false));
    rig.call(&Bytes::from_static(b"next"), 1_000).await;
    let mut stream = rig.accept().await;
    read_call(&mut stream).await;
    stream.write_all(OK).await.expect("written");
    assert_eq!(rig.outcome().await, (Outcome::Delivered, true));
}
