//! The actor against agents that fall silent, or send long or unreadable lists.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

fn names() -> Names {
    Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: vec!["a".into()],
        endpoint_kinds: vec!["m".into()],
        reports: Vec::new(),
    }
}

fn known_list() -> EndpointListDocument {
    let text = r#"{"revision":7,"complete":true,"members":[
        {"id":"x","host_port":"10.0.0.1:1","locality":"a","flavor":"m","cell":3,"phase":"Ready","size":1.0}]}"#;
    serde_json::from_str(text).expect("a list")
}

/// Where discovery must be polled and a list is known, the first poll is a watch from its revision, once the core wants
/// it. The same command again does not repeat it.
#[tokio::test]
async fn a_known_list_is_watched_from_its_revision_by_one_poll() {
    let agent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = agent.local_addr().expect("an address");
    let (_moves, discovery) = watch::channel(address);
    let (commands, mailbox) = mpsc::channel(4);
    let (dispatcher, _events) = mpsc::channel(4);
    let mut table = EndpointTable::default();
    table.apply(known_list(), &names());
    let log = Logger::root(slog::Discard, slog::o!());
    let platform = PlatformClient::new(address);
    let list = EndpointListWatch {
        platform,
        discovery,
        names: names(),
        table,
        must_be_polled: true,
        dispatcher,
        log,
    };
    tokio::spawn(list.run(mailbox));
    let early = tokio::time::timeout(Duration::from_millis(100), agent.accept()).await;
    assert!(early.is_err(), "polled before it was wanted");
    commands
        .send(EndpointListCommand::StartWatch)
        .await
        .expect("the actor runs");
    let (mut stream, _) = agent.accept().await.expect("a poll");
    let mut head = vec![0; 4096];
    let read = stream.read(&mut head).await.expect("a request");
    assert!(String::from_utf8_lossy(&head[..read]).starts_with("GET /discovery/hosts?index=7&"));
    // The same command once more while the poll is in flight: the poll goes on.
    commands
        .send(EndpointListCommand::StartWatch)
        .await
        .expect("the actor runs");
    assert!(
        tokio::time::timeout(Duration::from_millis(100), agent.accept())
            .await
            .is_err(),
        "polled again"
    );
    let more = tokio::time::timeout(Duration::from_millis(50), stream.read(&mut head)).await;
    assert!(more.is_err(), "the poll was dropped or made again");
}

/// A watch may fall silent as soon as it is opened, or within its answer. The forwarder counts as notified of what it
/// misses two seconds after the wait that was asked for. The next watch is opened by then.
#[tokio::test(start_paused = true)]
async fn a_watch_that_falls_silent_is_opened_again_in_time() {
    for answer in [
        "",
        "HTTP/1.1 200 OK\r\nContent-",
        "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"revision\":2,",
    ] {
        check_opened_again(answer).await;
    }
}

async fn check_opened_again(half: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (seen, mut watches) = mpsc::channel(8);
    tokio::spawn(async move {
        let mut silent = Vec::new(); // connections that stay open
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = vec![0; 1024];
            loop {
                let n = stream.read(&mut head).await.expect("a request");
                let asked = String::from_utf8_lossy(&head[..n]).into_owned();
                if asked.contains("index=") {
                    let wait = asked
                        .split("wait=")
                        .nth(1)
                        .and_then(|w| w.split(' ').next()?.parse().ok());
                    seen.send((Instant::now(), wait.expect("a wait")))
                        .await
                        .expect("it is awaited");
                    stream
                        .write_all(half.as_bytes())
                        .await
                        .expect("half an answer");
                    break silent.push(stream);
                }
                let list = r#"{"revision":1,"complete":true,"members":[]}"#;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                    list.len()
                );
                stream.write_all(answer.as_bytes()).await.expect("answered");
            }
        }
    });
    let (dispatcher, _events) = mpsc::channel(8);
    let (_moves, discovery) = watch::channel(address);
    let list = EndpointListWatch {
        platform: PlatformClient::new(address),
        discovery,
        names: names(),
        table: EndpointTable::default(),
        must_be_polled: false,
        dispatcher,
        log: Logger::root(slog::Discard, slog::o!()),
    };
    let (_mailbox, commands) = mpsc::channel(1);
    tokio::spawn(list.run(commands));
    let (opened, wait) = watches.recv().await.expect("a watch");
    let (opened_again, _) = watches.recv().await.expect("another");
    let notified_after = Duration::from_millis(wait) + Duration::from_secs(2);
    assert!(
        opened_again - opened < notified_after + Duration::from_millis(50),
        "{half}: {:?}",
        opened_again - opened
    );
}

/// Counts the lines of a log.
struct LineCounter(std::sync::Arc<std::sync::atomic::AtomicUsize>);

impl slog::Drain for LineCounter {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, _: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        self.0.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Ok(())
    }
}

/// An agent that gives one answer on each connection, whole or cut off after so many bytes, and closes it. After the last
/// one it answers nothing.
async fn agent(answers: Vec<(String, Option<usize>)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        let mut silent = Vec::new(); // connections that stay open
        for (body, cut) in answers {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = vec![0; 1024];
            assert!(stream.read(&mut head).await.expect("a request") > 0);
            let head = format!(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes()).await.expect("answered");
            stream
                .write_all(&body.as_bytes()[..cut.unwrap_or(body.len())])
                .await
                .expect("answered");
        }
        loop {
            silent.push(listener.accept().await.expect("a connection"));
        }
    });
    address
}

/// Lists of a hundred thousand members are applied. Lists that are cut off or have an unreadable member change nothing,
/// and all failures in a row are one line of the log.
#[tokio::test]
async fn long_lists_are_applied_and_unreadable_ones_are_logged_once() {
    const MANY: u32 = 100_000;
    let line = |n: u32| {
        let [a, b, c, d] = (0x0a00_0000 + n).to_be_bytes();
        format!(
            r#"{{"id":"member-{n:06}","host_port":"{a}.{b}.{c}.{d}:80","locality":"a","flavor":"m","cell":{n},"phase":"Ready"}}"#
        )
    };
    let list = |lines: Vec<String>| {
        format!(
            r#"{{"revision":1,"complete":true,"members":[{}]}}"#,
            lines.join(",")
        )
    };
    let all = list((0..MANY).map(line).collect());
    let half = list((0..MANY).step_by(2).map(line).collect());
    let unreadable = |from: &str, to: &str| list(vec![line(1), line(2).replace(from, to), line(3)]);
    let mut answers = vec![(all.clone(), None), (half.clone(), None)];
    answers.push((all[..all.len() / 2].to_owned(), None));
    answers.push((all.clone(), Some(all.len() / 2)));
    answers.extend(
        [
            ("Ready", "Sideways"),
            (":80", ""),
            (":2,", ":-2,"),
            (":2,", ":4294967296,"),
            ("\"id\"", "\"name\""),
        ]
        .map(|(from, to)| (unreadable(from, to), None)),
    );
    answers.extend([(half, None), (all, None)]);
    let address = agent(answers).await;
    let lines = std::sync::Arc::default();
    let (dispatcher, mut events) = mpsc::channel(4);
    let (_moves, discovery) = watch::channel(address);
    let list = EndpointListWatch {
        platform: PlatformClient::new(address),
        discovery,
        names: names(),
        table: EndpointTable::default(),
        must_be_polled: false,
        dispatcher,
        log: Logger::root(LineCounter(std::sync::Arc::clone(&lines)), slog::o!()),
    };
    let (_mailbox, commands) = mpsc::channel(1);
    tokio::spawn(list.run(commands));
    for wanted in [MANY, MANY / 2, MANY / 2, MANY] {
        let update = tokio::time::timeout(Duration::from_secs(20), events.recv())
            .await
            .expect("in time");
        let Some(DispatcherCommand::Event(Event::EndpointListUpdated(
            EndpointListUpdate::Complete(entries),
        ))) = update
        else {
            panic!("no complete list")
        };
        assert_eq!(entries.len(), wanted as usize);
    }
    // One line on the failures, and one on the recovery.
    assert_eq!(lines.load(std::sync::atomic::Ordering::Relaxed), 2);
}
