//! Bad orders at the door, each forced: whatever is tried is in the sockets before the door runs for the first time.

use super::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::thread::{spawn, JoinHandle};

const REQUEST: &str =
    "POST /notice HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nRequest-Timeout-Ms: 480\r\nEnvelope: dest=7\r\n\
                       Content-Length: 4\r\n\r\nbody";

struct Rig {
    clients: Clients,
    listener: TcpListener,
    closing: watch::Sender<Closing>,
    submissions: mpsc::Receiver<SubmissionRequest>,
}

impl Rig {
    async fn new(most: usize) -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (dispatcher, submissions) = mpsc::channel(64);
        let names = Names {
            classes: vec!["notice".into()],
            tenants: Vec::new(),
            zones: Vec::new(),
            endpoint_kinds: Vec::new(),
            reports: Vec::new(),
        };
        let row = DeliveryClassConfig {
            semantics: DeliverySemantics::Idempotent,
            time_to_live: 1_000_000,
            ..DeliveryClassConfig::default()
        };
        let config = Config {
            classes: vec![row],
            ..Config::default()
        };
        let submission_service = Arc::new(SubmissionService::new(
            names,
            &config,
            dispatcher,
            Logger::root(slog::Discard, slog::o!()),
        ));
        submission_service.ready.store(true, Ordering::Relaxed);
        let (closing, seen) = watch::channel(Closing::No);
        Rig {
            clients: Clients {
                submission_service,
                most,
                closing: seen,
            },
            listener,
            closing,
            submissions,
        }
    }

    /// Clients whose connections stand in line, each with a request written; what each hears comes with its end.
    fn come(&self, many: usize) -> Vec<JoinHandle<String>> {
        let address: SocketAddr = self.listener.local_addr().expect("its address");
        let come = |_| {
            let mut stream = std::net::TcpStream::connect(address).expect("in line");
            stream.write_all(REQUEST.as_bytes()).expect("written");
            spawn(move || {
                let mut heard = Vec::new();
                let _ = stream.read_to_end(&mut heard); // a reset ends it too
                String::from_utf8_lossy(&heard)
                    .lines()
                    .next()
                    .unwrap_or("nothing")
                    .to_owned()
            })
        };
        (0..many).map(come).collect()
    }

    /// Runs the door until all these have heard their ends; each message is taken on.
    async fn heard(self, come: Vec<JoinHandle<String>>) -> Vec<String> {
        let Rig {
            clients,
            listener,
            mut submissions,
            ..
        } = self;
        tokio::spawn(clients.run(listener));
        tokio::spawn(async move {
            while let Some(SubmissionRequest { answer, .. }) = submissions.recv().await {
                let _ = answer.send(SubmissionAnswer::Accepted);
            }
        });
        let ends = tokio::task::spawn_blocking(|| {
            come.into_iter()
                .map(|c| c.join().expect("it ends"))
                .collect()
        });
        ends.await.expect("they end")
    }
}

/// Guards connections in the line of the listener as it is shut: each is answered, and none goes with the listener.
#[tokio::test]
async fn who_stands_in_line_as_the_door_is_shut_is_answered() {
    let rig = Rig::new(16).await;
    let come = rig.come(8);
    rig.closing.send_replace(Closing::Shut);
    assert_eq!(rig.heard(come).await, vec!["HTTP/1.1 202 Accepted"; 8]);
}

/// Guards a request that lies in the socket as its connection is to be closed, be it the first there or a later one: the
/// runtime has not heard of it yet. It is read, and its answer is the last.
#[tokio::test]
async fn a_request_in_the_socket_goes_before_the_close_of_its_connection() {
    for before in 0..2 {
        let Rig {
            clients,
            listener,
            mut submissions,
            ..
        } = Rig::new(16).await;
        let presence = Arc::new(Presence::new(Arc::default()));
        let client = TcpStream::connect(listener.local_addr().expect("its address"))
            .await
            .expect("in line");
        let mut client = client.into_std().expect("a stream");
        client.set_nonblocking(false).expect("it blocks");
        let (stream, _) = listener.accept().await.expect("a client");
        let desk = ConnectionService {
            submission_service: clients.submission_service.clone(),
            presence: presence.clone(),
            crowded: false,
        };
        let served = tokio::spawn(serve(stream, desk));
        tokio::spawn(async move {
            while let Some(SubmissionRequest { answer, .. }) = submissions.recv().await {
                let _ = answer.send(SubmissionAnswer::Accepted);
            }
        });
        let rested = async |phase| {
            while presence.state().0 != phase {
                tokio::task::yield_now().await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        rested(Phase::Silent).await;
        if before == 1 {
            client.write_all(REQUEST.as_bytes()).expect("written");
            rested(Phase::Idle).await;
        }
        // In one turn: nobody looks at the sockets between these.
        client.write_all(REQUEST.as_bytes()).expect("written");
        presence.close();
        served.await.expect("it ends");
        let mut heard = String::new();
        let _ = client.read_to_string(&mut heard); // a reset ends it too
        assert_eq!(heard.matches("HTTP/1.1 202").count(), before + 1, "{heard}");
        assert_eq!(heard.matches("connection: close").count(), 1, "{heard}");
    }
}

/// Guards the inbox against more than it holds: whoever finds it full is told to come again at once, and the others are
/// answered once it is read.
#[tokio::test]
async fn who_finds_the_inbox_full_is_told_to_come_again() {
    let rig = Rig::new(128).await;
    let (room, over) = (rig.submissions.max_capacity(), 3);
    let come = rig.come(room + over);
    rig.closing.send_replace(Closing::Shut); // each answer is the last on its connection
    let Rig {
        clients,
        listener,
        mut submissions,
        ..
    } = rig;
    let submission_service = clients.submission_service.clone();
    tokio::spawn(clients.run(listener));
    while submission_service.dispatcher.capacity() > 0 {
        tokio::task::yield_now().await;
    }
    // Those beyond it are refused before anybody reads the inbox.
    let refused = tokio::task::spawn_blocking(move || {
        let (mut done, mut waiting) = (0, come);
        while done < over {
            let (ended, open): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|c| c.is_finished());
            done += ended.len();
            ended.into_iter().for_each(|c| {
                assert_eq!(
                    c.join().expect("it ends"),
                    "HTTP/1.1 503 Service Unavailable"
                )
            });
            waiting = open;
        }
        (done, waiting)
    });
    let (refused, waiting) = refused.await.expect("they end");
    assert_eq!((refused, waiting.len()), (over, room));
    tokio::spawn(async move {
        while let Some(SubmissionRequest { answer, .. }) = submissions.recv().await {
            let _ = answer.send(SubmissionAnswer::Accepted);
        }
    });
    let ends = tokio::task::spawn_blocking(|| {
        waiting
            .into_iter()
            .map(|c| c.join().expect("it ends"))
            .collect::<Vec<_>>()
    });
    assert_eq!(
        ends.await.expect("they end"),
        vec!["HTTP/1.1 202 Accepted"; room]
    );
}

/// Guards requests that come in pieces, as slow or small writes make them: each is read whole and answered, also the second
/// on a connection.
#[tokio::test]
async fn a_request_that_comes_byte_by_byte_is_answered() {
    let Rig {
        clients,
        listener,
        mut submissions,
        ..
    } = Rig::new(16).await;
    let address = listener.local_addr().expect("its address");
    tokio::spawn(clients.run(listener));
    let come = tokio::task::spawn_blocking(move || {
        let mut stream = std::net::TcpStream::connect(address).expect("taken");
        stream.set_nodelay(true).expect("set");
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .expect("set");
        for _ in 0..2 {
            for byte in REQUEST.bytes() {
                stream.write_all(&[byte]).expect("written");
                std::thread::sleep(Duration::from_millis(1));
            }
            let mut heard = [0; 12];
            stream.read_exact(&mut heard).expect("answered");
            assert_eq!(&heard, b"HTTP/1.1 202");
            let mut rest = Vec::new();
            while !rest.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("the rest of its head");
                rest.push(byte[0]);
            }
        }
    });
    tokio::spawn(async move {
        while let Some(SubmissionRequest {
            submitted, answer, ..
        }) = submissions.recv().await
        {
            let whole = submitted.body == Bytes::from_static(b"body");
            let _ = answer.send(if whole {
                SubmissionAnswer::Accepted
            } else {
                SubmissionAnswer::ConflictingContent
            });
        }
    });
    come.await.expect("both are answered");
}
