//! Loopback proxy that disturbs the TCP connections that pass through it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Socket filter that drops every segment: the classic BPF instruction `BPF_RET | BPF_K` with 0.
///
/// The kernel then acknowledges nothing, like a peer behind a cut.
const DROP_ALL: [SockFilter; 1] = [SockFilter::new(0x06, 0, 0, 0)];

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What happens to bytes on their way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkState {
    /// They pass.
    #[default]
    Open,
    /// Each piece is late by so many ms.
    Late(u64),
    /// So many bytes pass in a second on each way, of all connections together.
    Narrow(u64),
    /// Nothing passes, and no side whose bytes are stopped gets an acknowledgement; connections that
    /// are not given up go on when the state ends.
    Cut(Direction),
}

/// Which bytes a cut stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Those of the side that opened the connection.
    Forward,
    /// Those of the side that accepted it.
    Back,
    /// All.
    Both,
}

impl LinkState {
    fn stops(self, way: Direction) -> bool {
        matches!(self, Self::Cut(cut) if cut == way || cut == Direction::Both)
    }

    fn lateness(self) -> Duration {
        match self {
            Self::Late(ms) => Duration::from_millis(ms),
            Self::Open | Self::Narrow(_) | Self::Cut(_) => Duration::ZERO,
        }
    }

    /// Time that a piece occupies the link.
    fn transfer_time(self, bytes: usize) -> Duration {
        match self {
            Self::Narrow(bytes_per_s) => {
                Duration::from_secs_f64(bytes as f64 / bytes_per_s.max(1) as f64)
            }
            Self::Open | Self::Late(_) | Self::Cut(_) => Duration::ZERO,
        }
    }
}

/// When one way of a link is free for the next piece.
#[derive(Debug)]
struct Occupancy(Mutex<Instant>);

impl Occupancy {
    /// Puts a piece behind those that are on their way; returns when it has passed.
    fn enqueue(&self, transfer_time: Duration) -> Instant {
        let mut free_at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = Instant::now().max(*free_at) + transfer_time;
        *free_at
    }
}

impl Default for Occupancy {
    fn default() -> Self {
        Self(Mutex::new(Instant::now()))
    }
}

/// How the connections that are open now fail for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFault {
    /// They are reset.
    Reset,
    /// They go silent, and nothing is acknowledged; new ones work.
    Silence,
    /// Nothing passes on them any more, and what is sent is acknowledged; new ones work.
    Stall,
}

/// Running proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    link: Arc<Link>,
    stop: CancellationToken,
}

#[derive(Debug)]
struct Link {
    server: SocketAddr,
    state: watch::Sender<LinkState>,
    forward: Occupancy,
    back: Occupancy,
    /// How many faults were injected, and the last, which struck the connections that were open then.
    faulted: watch::Sender<(u64, ConnectionFault)>,
}

impl Proxy {
    /// Listens at one address and passes connections on to another.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
    pub async fn start(listen: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link {
            server,
            state: watch::Sender::default(),
            forward: Occupancy::default(),
            back: Occupancy::default(),
            faulted: watch::Sender::new((0, ConnectionFault::Reset)),
        });
        let stop = CancellationToken::new();
        tokio::spawn(accept_all(listener, Arc::clone(&link), stop.clone()));
        Ok(Self {
            address,
            link,
            stop,
        })
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Puts a state in force for all connections.
    pub fn set_state(&self, state: LinkState) {
        self.link.state.send_replace(state);
    }

    /// Makes the connections that are open now fail.
    pub fn inject(&self, fault: ConnectionFault) {
        self.link.faulted.send_modify(|(count, last)| {
            *count += 1;
            *last = fault;
        });
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept_all(listener: TcpListener, link: Arc<Link>, stop: CancellationToken) {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let (link, stop) = (Arc::clone(&link), stop.clone());
                connections.spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = pass_on(&link, stream) => {}
                    }
                });
            }
            Err(error) => {
                log::warn!("proxy: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    connections.close();
    connections.wait().await;
}

async fn pass_on(link: &Link, opened: TcpStream) {
    let mut faulted = link.faulted.subscribe();
    wait_until_passable(&mut link.state.subscribe(), Direction::Forward).await;
    let accepted = match TcpStream::connect(link.server).await {
        Ok(accepted) => accepted,
        Err(error) => {
            log::debug!("proxy: {} does not accept: {error}", link.server);
            return reset(&opened);
        }
    };
    let (mut from_opener, mut to_opener) = opened.into_split();
    let (mut from_acceptor, mut to_acceptor) = accepted.into_split();
    let forward = copy(link, &mut from_opener, &mut to_acceptor, Direction::Forward);
    let back = copy(link, &mut from_acceptor, &mut to_opener, Direction::Back);
    let fault = tokio::select! {
        ended = async { tokio::try_join!(forward, back) } => {
            ended.err().map(|_broken| ConnectionFault::Reset)
        }
        changed = faulted.changed() => changed.ok().map(|()| faulted.borrow().1),
    };
    match fault {
        Some(ConnectionFault::Silence) => {
            for stream in [from_opener.as_ref(), from_acceptor.as_ref()] {
                silence(stream);
                reset(stream);
            }
            std::future::pending::<()>().await;
        }
        Some(ConnectionFault::Stall) => std::future::pending().await,
        Some(ConnectionFault::Reset) => {
            reset(from_opener.as_ref());
            reset(from_acceptor.as_ref());
        }
        None => {}
    }
}

/// Passes one way on until its end, which is passed on, too.
async fn copy(
    link: &Link,
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    way: Direction,
) -> std::io::Result<()> {
    let mut state = link.state.subscribe();
    let occupancy = match way {
        Direction::Forward => &link.forward,
        Direction::Back | Direction::Both => &link.back,
    };
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        hold_while_cut(from.as_ref(), &mut state, way).await;
        let count = tokio::select! {
            count = from.read(&mut chunk) => count?,
            Ok(()) = state.changed() => continue,
        };
        hold_while_cut(from.as_ref(), &mut state, way).await;
        let current = *state.borrow();
        // Timers are rounded up to a millisecond, which would make every link narrow.
        if !current.lateness().is_zero() {
            tokio::time::sleep(current.lateness()).await;
        }
        let passed_at = occupancy.enqueue(current.transfer_time(count));
        if passed_at > Instant::now() {
            tokio::time::sleep_until(passed_at).await;
        }
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..count]).await?;
    }
}

/// While a way is cut, drops the segments that arrive on it; returns when it is open.
async fn hold_while_cut(from: &TcpStream, state: &mut watch::Receiver<LinkState>, way: Direction) {
    if !state.borrow_and_update().stops(way) {
        return;
    }
    silence(from);
    wait_until_passable(state, way).await;
    if let Err(error) = SockRef::from(from).detach_filter() {
        log::warn!("proxy: a connection stays silent after a cut: {error}");
    }
}

async fn wait_until_passable(state: &mut watch::Receiver<LinkState>, way: Direction) {
    if state.wait_for(|state| !state.stops(way)).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Drops every segment that arrives for a stream from now on.
fn silence(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).attach_filter(&DROP_ALL) {
        log::warn!("proxy: a silent connection still acknowledges: {error}");
    }
}

/// Makes the close of a stream reset it.
fn reset(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("proxy: a connection ends without a reset: {error}");
    }
}
