//! Tests of addresses handed out on loopback.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use beechsaddle_lab::fleet::free_address;

/// Set in the processes that only print addresses.
const ASKER_VARIABLE: &str = "BEECHSADDLE_TEST_ASKER";
/// As many as a few fleets of routers choose before any of them is bound.
const ADDRESSES: usize = 200;
const ASKERS: usize = 4;
/// Enough that one of them meets a process that is starting, where that matters.
const BOUND: usize = 5_000;

/// Prints addresses when it is run as a process of its own by the test below, else does nothing.
#[test]
fn free_address_asker() {
    if std::env::var_os(ASKER_VARIABLE).is_none() {
        return;
    }
    for _ in 0..ADDRESSES {
        println!("address {}", free_address().expect("an address"));
    }
    // The addresses stay chosen until this process ends, as those of a fleet that is starting.
    let mut line = String::new();
    std::io::stdin()
        .read_line(&mut line)
        .expect("the end of input");
}

/// A test sees a router that cannot bind its address. Each address was drawn at random, tried and
/// let go; of some eighty that fleets choose before binding them, two are equal in one run of six.
/// Several processes choose here at once, and none may get what another was given.
#[test]
fn free_address_several_processes_get_different_ones() {
    let own: Vec<_> = (0..ADDRESSES)
        .map(|_| free_address().expect("an address").to_string())
        .collect();
    let children: Vec<_> = (0..ASKERS)
        .map(|_| {
            Command::new(std::env::current_exe().expect("this program"))
                .args(["--exact", "free_address_asker", "--nocapture"])
                .env(ASKER_VARIABLE, "1")
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .expect("an asker")
        })
        .collect();
    let mut given = own;
    // Output is read before any asker may end: its addresses are in use until then.
    let mut waiting = Vec::new();
    for mut child in children {
        let mut reader = std::io::BufReader::new(child.stdout.take().expect("its output"));
        for _ in 0..ADDRESSES {
            given.push(next_address(&mut reader));
        }
        waiting.push((child, reader));
    }
    for (mut child, reader) in waiting {
        drop(child.stdin.take());
        drop(reader);
        child.wait().expect("the end of an asker");
    }
    let different: BTreeSet<_> = given.iter().collect();
    assert_eq!(different.len(), given.len(), "an address was given twice");
}

fn next_address(reader: &mut impl std::io::BufRead) -> String {
    loop {
        let mut line = String::new();
        let count = reader.read_line(&mut line).expect("a line");
        assert_ne!(count, 0, "an asker ended early");
        // The harness writes the test's name on the line of the first address.
        if let Some((_, address)) = line.trim_end().split_once("address ") {
            return address.to_owned();
        }
    }
}

/// A test sees a router that cannot bind its address, although nobody else was given it. The address was tried by
/// listening on it for a moment; another thread started a process in that moment, and until the new process runs its
/// program it holds whatever was open. Beside load that lasts longer than it takes to start a router.
#[test]
fn free_address_can_be_bound_while_processes_start() {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..ASKERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let status = Command::new("true").status().expect("a process");
                    assert!(status.success());
                }
            });
        }
        let bound = (0..BOUND).all(|_| {
            let address = free_address().expect("an address");
            TcpListener::bind(address).is_ok()
        });
        is_over.store(true, Ordering::Relaxed);
        assert!(bound, "an address was in use");
    });
}
