//! Tests of the allocation of unused loopback addresses.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use beechsaddle_lab::fleet::free_address;

/// Set in the child processes, which only print addresses.
const CHILD_VARIABLE: &str = "BEECHSADDLE_TEST_ASKER";
/// As many addresses as several fleets choose before any is bound.
const ADDRESSES: usize = 200;
const PROCESSES: usize = 4;
/// Enough that one of them coincides with the start of a process.
const BOUND: usize = 5_000;

/// Prints addresses if it is run as a child process by the test below; otherwise does nothing.
#[test]
fn free_address_child_process() {
    if std::env::var_os(CHILD_VARIABLE).is_none() {
        return;
    }
    for _ in 0..ADDRESSES {
        println!("address {}", free_address().expect("an address"));
    }
    // The addresses stay claimed until this process exits, as those of a starting fleet do.
    let mut line = String::new();
    std::io::stdin()
        .read_line(&mut line)
        .expect("the end of input");
}

/// Guards against routers that cannot bind their address because it was handed out twice.
/// Addresses that are drawn at random, probed and released again collide: among some eighty that
/// fleets choose before binding them, two were equal in one run of six.
#[test]
fn free_address_several_processes_get_different_ones() {
    let own: Vec<_> = (0..ADDRESSES)
        .map(|_| free_address().expect("an address").to_string())
        .collect();
    let children: Vec<_> = (0..PROCESSES)
        .map(|_| {
            Command::new(std::env::current_exe().expect("this program"))
                .args(["--exact", "free_address_child_process", "--nocapture"])
                .env(CHILD_VARIABLE, "1")
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .expect("a child process")
        })
        .collect();
    let mut given = own;
    // All output is read before any child may exit, as its addresses are claimed until then.
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
        child.wait().expect("the exit of a child");
    }
    let different: BTreeSet<_> = given.iter().collect();
    assert_eq!(
        different.len(),
        given.len(),
        "an address was returned twice"
    );
}

fn next_address(reader: &mut impl std::io::BufRead) -> String {
    loop {
        let mut line = String::new();
        let count = reader.read_line(&mut line).expect("a line");
        assert_ne!(count, 0, "a child exited early");
        // The test harness prints the name of the test on the line of the first address.
        if let Some((_, address)) = line.trim_end().split_once("address ") {
            return address.to_owned();
        }
    }
}

/// Guards against routers that cannot bind their address although it was handed out once. If the
/// address is probed by listening on it, a process that another thread starts at that moment
/// inherits the socket until it executes its program. Under load this takes longer than the start
/// of a router.
#[test]
fn free_address_can_be_bound_while_processes_start() {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..PROCESSES {
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
