//! A machine's link to the other machines: connections pass through here at the rate of the link.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bytes that pass at once.
const CHUNK_BYTES: usize = 4 << 10;

/// When the link is free for the next bytes, for one direction.
type FreeAt = Arc<Mutex<Instant>>;

/// Passes connections from `listen` on to `inner` at so many bytes a second in each direction.
pub fn start(listen: &str, inner: &str, bytes_per_s: u64) {
    let listener = TcpListener::bind(listen).expect("the link binds");
    let inner = inner.to_owned();
    let (inwards, outwards): (FreeAt, FreeAt) = (
        Arc::new(Mutex::new(Instant::now())),
        Arc::new(Mutex::new(Instant::now())),
    );
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(&inner) else {
                continue;
            };
            for stream in [&near, &far] {
                let _ = stream.set_nodelay(true);
            }
            let directions = [(&near, &far, &inwards), (&far, &near, &outwards)];
            for (from, to, free_at) in directions {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                    continue;
                };
                let free_at = Arc::clone(free_at);
                std::thread::spawn(move || pass(from, to, &free_at, bytes_per_s));
            }
        }
    });
}

fn pass(mut from: TcpStream, mut to: TcpStream, free_at: &Mutex<Instant>, bytes_per_s: u64) {
    let mut chunk = [0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 {
            break;
        }
        let passed_at = {
            let mut free_at = free_at.lock().unwrap();
            let takes = Duration::from_nanos(count as u64 * 1_000_000_000 / bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + takes;
            *free_at
        };
        std::thread::sleep(passed_at.saturating_duration_since(Instant::now()));
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
