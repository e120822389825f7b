//! A TCP proxy that can hold packets back and deliver them later, reset connections or refuse
//! them.

use parking_lot::Mutex;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Link {
    Open,
    /// Packets are held back and delivered in order once the link is open again.
    Hold,
    /// Connections are reset, and new ones too.
    Reset,
    /// Bytes pass after this many milliseconds.
    Slow(u64),
}

pub struct Proxy {
    pub address: SocketAddr,
    link: Arc<Mutex<Link>>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("listen");
        let address = listener.local_addr().expect("address");
        let link = Arc::new(Mutex::new(Link::Open));
        let shared = Arc::clone(&link);
        std::thread::spawn(move || {
            for incoming in listener.incoming().flatten() {
                let link = Arc::clone(&shared);
                std::thread::spawn(move || connect(incoming, to, &link));
            }
        });
        Proxy { address, link }
    }

    pub fn set(&self, link: Link) {
        *self.link.lock() = link;
    }
}

fn connect(incoming: TcpStream, to: SocketAddr, link: &Arc<Mutex<Link>>) {
    // An attempt to connect does not complete while packets are held back.
    while *link.lock() == Link::Hold {
        std::thread::sleep(Duration::from_millis(20));
        let _ = incoming.set_nonblocking(true);
        let closed = matches!(incoming.peek(&mut [0; 1]), Ok(0));
        let _ = incoming.set_nonblocking(false);
        if closed {
            return;
        }
    }
    if *link.lock() == Link::Reset {
        return;
    }
    let Ok(outgoing) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return;
    };
    let _ = (incoming.set_nodelay(true), outgoing.set_nodelay(true));
    let (Ok(from), Ok(back)) = (outgoing.try_clone(), incoming.try_clone()) else {
        return;
    };
    let second = Arc::clone(link);
    std::thread::spawn(move || copy(from, back, &second));
    copy(incoming, outgoing, link);
}

fn copy(mut from: TcpStream, mut to: TcpStream, link: &Mutex<Link>) {
    let mut chunk = [0; 16_384];
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    'bytes: loop {
        if *link.lock() == Link::Reset {
            break;
        }
        match from.read(&mut chunk) {
            Ok(0) => {
                while *link.lock() == Link::Hold {
                    std::thread::sleep(Duration::from_millis(5));
                }
                break;
            }
            Ok(count) => {
                loop {
                    let now = *link.lock();
                    match now {
                        Link::Hold => std::thread::sleep(Duration::from_millis(5)),
                        Link::Reset => break 'bytes,
                        Link::Slow(ms) => {
                            std::thread::sleep(Duration::from_millis(ms));
                            break;
                        }
                        Link::Open => break,
                    }
                }
                if to.write_all(&chunk[..count]).is_err() {
                    break;
                }
            }
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => break,
        }
    }
    // What was received is delivered first; the other direction may go on.
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
