//! Calls between controllers: length-prefixed MessagePack over TCP.

use crate::client::left;
use crate::server::listen;
use parking_lot::Mutex;
use pulleywood_wire::peer::{Ask, Reply};
use serde::{Serialize, de::DeserializeOwned};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const MAX_MESSAGE: usize = 1 << 20;
const STACK: usize = 192 * 1024;

fn write_message<T: Serialize>(stream: &mut TcpStream, message: &T) -> std::io::Result<()> {
    let body = rmp_serde::to_vec(message)
        .map_err(|e| std::io::Error::new(ErrorKind::InvalidData, e.to_string()))?;
    let mut out = Vec::with_capacity(body.len() + 4);
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&body);
    stream.write_all(&out)
}

fn read_message<T: DeserializeOwned>(stream: &mut TcpStream) -> std::io::Result<T> {
    let mut len = [0u8; 4];
    stream.read_exact(&mut len)?;
    let len = u32::from_be_bytes(len) as usize;
    if len > MAX_MESSAGE {
        return Err(std::io::Error::new(ErrorKind::InvalidData, "too long"));
    }
    let mut body = vec![0u8; len];
    stream.read_exact(&mut body)?;
    rmp_serde::from_slice(&body)
        .map_err(|e| std::io::Error::new(ErrorKind::InvalidData, e.to_string()))
}

/// Calls to one other controller, one at a time over a kept-alive connection.
#[derive(Debug)]
pub struct PeerClient {
    addr: SocketAddr,
    conn: Mutex<Option<TcpStream>>,
}

impl PeerClient {
    /// A client of the controller at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            conn: Mutex::new(None),
        }
    }

    /// Asks and waits for the reply.
    pub fn ask(&self, ask: &Ask, time: Duration) -> std::io::Result<Reply> {
        let deadline = Instant::now() + time;
        // The connection is taken out while in use: no lock across I/O.
        let kept = self.conn.lock().take();
        let reused = kept.is_some();
        let mut stream = match kept {
            Some(stream) => stream,
            None => connect(self.addr, deadline)?,
        };
        let result = match exchange(&mut stream, ask, deadline) {
            // A kept connection may have been closed by a restart.
            Err(e)
                if reused
                    && e.kind() != ErrorKind::TimedOut
                    && e.kind() != ErrorKind::WouldBlock =>
            {
                stream = connect(self.addr, deadline)?;
                exchange(&mut stream, ask, deadline)
            }
            other => other,
        };
        if result.is_ok() {
            *self.conn.lock() = Some(stream);
        }
        result
    }
}

fn connect(addr: SocketAddr, deadline: Instant) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, left(deadline)?)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn exchange(stream: &mut TcpStream, ask: &Ask, deadline: Instant) -> std::io::Result<Reply> {
    stream.set_write_timeout(Some(left(deadline)?))?;
    write_message(stream, ask)?;
    stream.set_read_timeout(Some(left(deadline)?))?;
    read_message(stream)
}

/// Serves other controllers; at most `max` connections at a time.
pub fn serve(
    addr: SocketAddr,
    max: usize,
    answer: impl Fn(Ask) -> Reply + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = listen(addr, max)?;
    let bound = listener.local_addr()?;
    let answer = Arc::new(answer);
    let open = Arc::new(AtomicUsize::new(0));
    std::thread::Builder::new()
        .name("peers".into())
        .stack_size(STACK)
        .spawn(move || {
            loop {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                };
                if open.load(Ordering::Relaxed) >= max {
                    continue;
                }
                open.fetch_add(1, Ordering::Relaxed);
                let (answer, open_here) = (Arc::clone(&answer), Arc::clone(&open));
                let started = std::thread::Builder::new()
                    .name("peer".into())
                    .stack_size(STACK)
                    .spawn(move || {
                        if let Err(e) = converse(stream, &*answer) {
                            log::debug!("peer connection ended: {e}");
                        }
                        open_here.fetch_sub(1, Ordering::Relaxed);
                    });
                if started.is_err() {
                    open.fetch_sub(1, Ordering::Relaxed);
                }
            }
        })?;
    Ok(bound)
}

fn converse(mut stream: TcpStream, answer: &dyn Fn(Ask) -> Reply) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    loop {
        let ask = read_message(&mut stream)?;
        write_message(&mut stream, &answer(ask))?;
    }
}
