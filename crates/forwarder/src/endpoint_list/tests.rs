use super::*;
use crate::protocol::{Member, Phase};
use opalpulley::{EndpointEntry, EndpointStatus};
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

fn text(revision: u64, complete: bool, members: &[(&str, u16, Phase)]) -> EndpointListDocument {
    let member = |(id, port, phase): &(&str, u16, Phase)| Member {
        id: (*id).into(),
        host_port: format!("10.0.0.1:{port}").parse().expect("an address"),
        locality: "a".into(),
        flavor: "m".into(),
        cell: 3,
        phase: *phase,
        size: 1.0,
        up_since_ms: 0,
    };
    EndpointListDocument {
        revision,
        complete,
        members: members.iter().map(member).collect(),
    }
}

/// What some news say of each endpoint by that key, in order of keys.
fn told_by<K: Ord>(
    key: fn(&EndpointEntry) -> K,
    news: Option<EndpointListUpdate>,
) -> Vec<(K, EndpointStatus)> {
    let (EndpointListUpdate::Changes(entries)
    | EndpointListUpdate::Complete(entries)
    | EndpointListUpdate::Cached(entries)) = news.expect("news")
    else {
        panic!("no entries")
    };
    let mut told: Vec<_> = entries.iter().map(|e| (key(e), e.status)).collect();
    told.sort_by(|(a, _), (b, _)| a.cmp(b));
    told
}

fn told(news: Option<EndpointListUpdate>) -> Vec<(u16, EndpointStatus)> {
    told_by(|e| e.endpoint.port, news)
}

fn numbers(news: Option<EndpointListUpdate>) -> Vec<(u32, EndpointStatus)> {
    told_by(|e| e.endpoint.incarnation, news)
}

#[test]
fn changes_build_on_the_list_and_old_ones_are_passed_over() {
    let mut held = EndpointTable::default();
    let whole = text(5, true, &[("x", 1, Phase::Ready), ("y", 2, Phase::Ready)]);
    assert_eq!(
        told(held.take(whole, &names())),
        [(1, EndpointStatus::Ready), (2, EndpointStatus::Ready)]
    );
    let change = text(6, false, &[("y", 2, Phase::Terminating)]);
    assert_eq!(
        told(held.take(change, &names())),
        [(2, EndpointStatus::Draining)]
    );
    assert!(held
        .take(text(4, false, &[("y", 2, Phase::Ready)]), &names())
        .is_none());
    assert!(held.take(text(7, false, &[]), &names()).is_none());
    assert_eq!(held.revision, Some(7));
}

/// Guards drains, health and destinations where an address changes hands: each holder is an endpoint of its own.
#[test]
fn a_member_that_moves_leaves_its_address_and_a_new_one_keeps_it() {
    let mut held = EndpointTable::default();
    held.take(text(1, true, &[("x", 1, Phase::Ready)]), &names());
    let moved = held.take(text(2, false, &[("x", 2, Phase::Ready)]), &names());
    assert_eq!(
        told(moved),
        [(1, EndpointStatus::Removed), (2, EndpointStatus::Ready)]
    );
    // Another takes the address over: the first is gone, and the second is not it under the same address.
    let taken = held.take(text(3, false, &[("z", 2, Phase::Ready)]), &names());
    assert_eq!(
        numbers(taken),
        [(2, EndpointStatus::Removed), (3, EndpointStatus::Ready)]
    );
    // The drain and the end of the first, told late, are not those of the second.
    assert!(held
        .take(text(4, false, &[("x", 2, Phase::Terminating)]), &names())
        .is_none());
    assert!(held
        .take(text(5, false, &[("x", 2, Phase::Gone)]), &names())
        .is_none());
    let both = &[("x", 2, Phase::Terminating), ("z", 2, Phase::Ready)];
    assert_eq!(
        numbers(held.take(text(6, true, both), &names())),
        [(3, EndpointStatus::Ready)]
    );
    // The same address for another destination is another endpoint.
    let mut other = text(7, false, &[("z", 2, Phase::Ready)]);
    other.members[0].cell = 4;
    assert_eq!(
        numbers(held.take(other, &names())),
        [(3, EndpointStatus::Removed), (5, EndpointStatus::Ready)]
    );
    // Nothing is kept of those that have gone.
    held.take(text(8, false, &[("z", 2, Phase::Gone)]), &names());
    assert!(held.is_empty());
}

/// Where the list must be asked for and one is known, nothing is asked before the core wants it, and then only once.
#[tokio::test]
async fn a_known_list_is_watched_from_its_revision_by_one_call() {
    use tokio::io::AsyncReadExt;
    let agent = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = agent.local_addr().expect("an address");
    let (_moves, discovery) = watch::channel(address);
    let (notes, mailbox) = mpsc::channel(4);
    let (dispatcher, _events) = mpsc::channel(4);
    let mut held = EndpointTable::default();
    held.take(text(7, true, &[("x", 1, Phase::Ready)]), &names());
    let log = Logger::root(slog::Discard, slog::o!());
    let platform = Platform::new(address);
    let list = EndpointListWatch {
        platform,
        discovery,
        names: names(),
        held,
        must_be_asked: true,
        dispatcher,
        log,
    };
    tokio::spawn(list.run(mailbox));
    let early = tokio::time::timeout(Duration::from_millis(100), agent.accept()).await;
    assert!(early.is_err(), "asked before it was wanted");
    notes
        .send(EndpointListCommand::Watch(true))
        .await
        .expect("the actor runs");
    let (mut stream, _) = agent.accept().await.expect("a call");
    let mut head = vec![0; 4096];
    let read = stream.read(&mut head).await.expect("a request");
    assert!(String::from_utf8_lossy(&head[..read]).starts_with("GET /discovery/hosts?index=7&"));
    // The same wish once more while the call is out: it is left alone.
    notes
        .send(EndpointListCommand::Watch(true))
        .await
        .expect("the actor runs");
    assert!(
        tokio::time::timeout(Duration::from_millis(100), agent.accept())
            .await
            .is_err(),
        "asked again"
    );
    let more = tokio::time::timeout(Duration::from_millis(50), stream.read(&mut head)).await;
    assert!(more.is_err(), "the call was dropped or made again");
}

/// A change to a list of thousands once cloned all of it, and each member of a whole list looked at all others.
#[test]
fn thousands_of_members_and_of_changes_are_taken_as_they_are_told() {
    let mut held = EndpointTable::default();
    let ids: Vec<String> = (0..4_096).map(|n| format!("s-{n}")).collect();
    let whole: Vec<_> = ids
        .iter()
        .zip(1..)
        .map(|(id, port)| (id.as_str(), port, Phase::Ready))
        .collect();
    let begun = std::time::Instant::now();
    assert_eq!(
        told(held.take(text(1, true, &whole), &names())).len(),
        ids.len()
    );
    for (id, port, _) in whole {
        let news = held.take(text(2, false, &[(id, port, Phase::Terminating)]), &names());
        assert_eq!(told(news), [(port, EndpointStatus::Draining)]);
    }
    // 25 s, where each change looks at all.
    assert!(
        begun.elapsed() < std::time::Duration::from_secs(2),
        "{:?}",
        begun.elapsed()
    );
    // One named twice counts as it is told last; one that takes another's address sends that one off.
    let twice = [
        ("s-0", 1, Phase::Gone),
        ("s-0", 1, Phase::Ready),
        ("new", 2, Phase::Ready),
    ];
    let news = numbers(held.take(text(3, false, &twice), &names()));
    assert_eq!(
        news,
        [
            (1, EndpointStatus::Ready),
            (2, EndpointStatus::Removed),
            (4_097, EndpointStatus::Ready)
        ]
    );
}

/// Guards drains against a watch that falls silent as soon as it is opened, or within its answer: what it misses counts as
/// told two seconds after the wait that was asked for, and the next watch is opened by then.
#[tokio::test(start_paused = true)]
async fn a_watch_that_falls_silent_is_opened_anew_by_the_time_that_counts() {
    for answer in [
        "",
        "HTTP/1.1 200 OK\r\nContent-",
        "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"revision\":2,",
    ] {
        opened_anew(answer).await;
    }
}

async fn opened_anew(half: &'static str) {
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
    let (dispatcher, _news) = mpsc::channel(8);
    let (_moves, discovery) = watch::channel(address);
    let list = EndpointListWatch {
        platform: Platform::new(address),
        discovery,
        names: names(),
        held: EndpointTable::default(),
        must_be_asked: false,
        dispatcher,
        log: Logger::root(slog::Discard, slog::o!()),
    };
    let (_mailbox, notes) = mpsc::channel(1);
    tokio::spawn(list.run(notes));
    let (opened, wait) = watches.recv().await.expect("a watch");
    let (anew, _) = watches.recv().await.expect("another");
    let counts = Duration::from_millis(wait) + Duration::from_secs(2);
    assert!(
        anew - opened < counts + Duration::from_millis(50),
        "{half}: {:?}",
        anew - opened
    );
}

/// Counts what is logged.
struct Lines(std::sync::Arc<std::sync::atomic::AtomicUsize>);

impl slog::Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, _: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        self.0.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Ok(())
    }
}

/// An agent that gives one answer a request, each to its last byte or to that many, then closes; then none.
async fn agent(answers: Vec<(String, Option<usize>)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        let mut held = Vec::new();
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
            held.push(listener.accept().await.expect("a connection"));
        }
    });
    address
}

/// Guards the list as held, and the log, against a hundred thousand lines, half of them gone and back, and lists that are cut
/// off or hold a line that can't be read: what is whole counts, what is not changes nothing and is told in one line.
#[tokio::test]
async fn long_lists_are_taken_and_spoilt_ones_are_one_line_of_the_log() {
    const MANY: u32 = 100_000;
    let line = |n: u32| {
        let [a, b, c, d] = (0x0a00_0000 + n).to_be_bytes();
        format!(
            r#"{{"id":"target-{n:06}","host_port":"{a}.{b}.{c}.{d}:80","locality":"a","flavor":"m","cell":{n},"phase":"Ready"}}"#
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
    let spoilt = |from: &str, to: &str| list(vec![line(1), line(2).replace(from, to), line(3)]);
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
        .map(|(from, to)| (spoilt(from, to), None)),
    );
    answers.extend([(half, None), (all, None)]);
    let address = agent(answers).await;
    let lines = std::sync::Arc::default();
    let (dispatcher, mut events) = mpsc::channel(4);
    let (_moves, discovery) = watch::channel(address);
    let list = EndpointListWatch {
        platform: Platform::new(address),
        discovery,
        names: names(),
        held: EndpointTable::default(),
        must_be_asked: false,
        dispatcher,
        log: Logger::root(Lines(std::sync::Arc::clone(&lines)), slog::o!()),
    };
    let (_mailbox, notes) = mpsc::channel(1);
    tokio::spawn(list.run(notes));
    for wanted in [MANY, MANY / 2, MANY / 2, MANY] {
        let news = tokio::time::timeout(Duration::from_secs(20), events.recv())
            .await
            .expect("in time");
        let Some(DispatcherCommand::Event(Event::EndpointList(EndpointListUpdate::Complete(
            entries,
        )))) = news
        else {
            panic!("no whole list")
        };
        assert_eq!(entries.len(), wanted as usize);
    }
    // That it is not told, and that it is told again.
    assert_eq!(lines.load(std::sync::atomic::Ordering::Relaxed), 2);
}
