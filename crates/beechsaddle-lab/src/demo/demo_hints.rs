//! The `demo_hints` module provides example commands for a fleet that keeps running.

use super::demo_fleet::{KEY, MODEL, PLAIN_SERVICE};
use crate::fleet::LabFleet;

/// Prints the addresses of the fleet and example commands.
pub fn print_hints(fleet: &LabFleet) {
    println!("platform={}", fleet.platform());
    for (host, target) in fleet.targets() {
        println!("target={host} address={}", target.address);
    }
    for (host, router) in fleet.routers() {
        let file = &router.file;
        println!(
            "router={host} domain={} calls={} admin={}",
            file.plan.domain, file.call_address, file.admin_address
        );
    }
    if let Some(router) = fleet.routers().values().next() {
        let (calls, admin) = (router.file.call_address, router.file.admin_address);
        println!(
            "curl -N http://{calls}/v1/chat/completions -H 'Authorization: Bearer {KEY}' \
             -d '{{\"model\": \"{MODEL}\", \"stream\": true, \"messages\": \
             [{{\"role\": \"user\", \"content\": \"hello tokens=20\"}}]}}'"
        );
        println!(
            "curl http://{calls}/svc/{PLAIN_SERVICE}/claims -H 'Authorization: Bearer {KEY}' \
             -H 'Beechsaddle-Repeatable: no' -H 'Idempotency-Key: claim-18' -d '{{}}'"
        );
        println!("curl http://{admin}/admin/status");
    }
    println!("stop with ctrl-c");
}
