//! The datagram socket for gossip between forwarders. Datagrams may arrive late, twice or not at all.

use crate::commands::{DispatcherCommand, GossipDatagram};
use crate::startup_config::GossipPeers;
use opalpulley::Event;
use slog::{warn, Logger};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Upper bound on the length of a datagram of the protocol, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Minimum time between two log lines about datagrams from unknown senders, so that such datagrams cannot fill the
/// disk.
const UNKNOWN_SENDER_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Sends the gossip of this forwarder, and passes the gossip that it receives to the dispatcher. Returns at once if the
/// deployment names no address to listen on, and otherwise when the dispatcher has ended. Fails if the address cannot
/// be used.
pub async fn run(
    peers: GossipPeers,
    mut outgoing: mpsc::Receiver<GossipDatagram>,
    dispatcher: mpsc::Sender<DispatcherCommand>,
    log: Logger,
) -> io::Result<()> {
    let Some(listen) = peers.listen else {
        return Ok(());
    };
    let socket = UdpSocket::bind(listen).await?;
    let peer_numbers: HashMap<SocketAddr, u16> = peers.addresses.iter().copied().zip(0..).collect();
    let mut unknown_senders = UnknownSenders::default();
    // A longer datagram is truncated to the length of the buffer, 256 bytes.
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            datagram = outgoing.recv() => match datagram {
                Some(datagram) => send(&socket, &peers, &datagram, &log),
                None => return Ok(()),
            },
            received = socket.recv_from(&mut buffer) => {
                // A failed read is ignored, because gossip may be lost.
                let Ok((length, sender)) = received else { continue };
                let Some(number) = peer_numbers.get(&sender).copied() else {
                    unknown_senders.record(sender, &log);
                    continue;
                };
                let payload = buffer[..length].to_vec();
                let event = Event::GossipReceived { peer: number, payload };
                if dispatcher.send(DispatcherCommand::Event(event)).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

/// Sends a datagram, unless the buffer of the socket is full: gossip may be lost.
fn send(socket: &UdpSocket, peers: &GossipPeers, datagram: &GossipDatagram, log: &Logger) {
    let address = match datagram.peer {
        Some(number) => peers.addresses.get(usize::from(number)).copied(),
        None => peers.broadcast,
    };
    let length = datagram.payload.len();
    match address {
        Some(address) if length <= MAX_DATAGRAM_BYTES => {
            drop(socket.try_send_to(&datagram.payload, address));
        }
        _ => {
            warn!(log, "gossip datagram dropped: its peer has no address, or it is too long"; "bytes" => length)
        }
    }
}

/// Counts and logs the datagrams whose senders are not peers.
#[derive(Default)]
struct UnknownSenders {
    /// Number of datagrams since the start.
    datagram_count: u64,
    /// When the latest log line was written.
    last_logged_at: Option<Instant>,
}

impl UnknownSenders {
    /// Counts a datagram, and logs it if the latest log line is old enough.
    fn record(&mut self, sender: SocketAddr, log: &Logger) {
        self.datagram_count += 1;
        let log_due = self
            .last_logged_at
            .is_none_or(|at| at.elapsed() >= UNKNOWN_SENDER_LOG_INTERVAL);
        if log_due {
            self.last_logged_at = Some(Instant::now());
            warn!(log, "gossip datagram dropped: its sender is not a peer"; "from" => %sender, "total" => self.datagram_count);
        }
    }
}
