//! Tests of addresses handed out on loopback.

use std::collections::BTreeSet;
use std::process::{Command, Stdio};

use beechsaddle_lab::fleet::free_address;

/// Set in the processes that only print addresses.
const ASKER_VARIABLE: &str = "BEECHSADDLE_TEST_ASKER";
/// As many as a few fleets of routers choose before any of them is bound.
const ADDRESSES: usize = 200;
const ASKERS: usize = 4;

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
