//! Tests of a gateway's settings: the documentation, the deployed template, and errors.

use beechsaddle::gateway::GatewaySettings;
use beechsaddle_core::gateway::EscrowOptions;

#[test]
fn documented_settings_parse() {
    let page = include_str!("../../../docs/GATEWAY.md");
    let start = page.find("```toml\n").expect("a file") + "```toml\n".len();
    let end = start + page[start..].find("```").expect("its end");
    let settings = GatewaySettings::try_parse("GATEWAY.md", &page[start..end]).expect("settings");
    assert_eq!(settings.grace_ms, 8_000);
    assert_eq!(settings.store.call_timeout.as_millis(), 900);
    assert_eq!(settings.watch_wait.as_millis(), 2_000);
    assert_eq!(settings.probe_interval.as_millis(), 1_000);
}

/// The platform fills in the template at each start. A misspelled key in it would prevent every router from
/// starting.
#[test]
fn deployed_template_parses() {
    let template = include_str!("../../../deploy/router.toml");
    let mut text = String::new();
    for (index, piece) in template.split("{{").enumerate() {
        let Some((name, rest)) = piece.split_once("}}").filter(|_| index > 0) else {
            text.push_str(piece);
            continue;
        };
        let value = match name {
            "ip" => "10.0.0.1",
            name if name.contains("port") => "7000",
            name if name.starts_with("listen") || name.contains("address") => "10.0.0.1:80",
            name if name.starts_with("bounds") => "0.5",
            name if name.starts_with(['#', '/']) => "",
            "." => "200",
            _ => "name",
        };
        text.push_str(value);
        text.push_str(rest);
    }
    let settings = GatewaySettings::try_parse("router.toml", text).expect("settings");
    assert_eq!(settings.link_mbps, Some(200.0));
    assert_eq!(settings.memory_mb, 200);
    assert_eq!(settings.descriptors, 200);
    assert!(settings.peer_address.is_some() && settings.metrics_address.is_some());
}

#[test]
fn errors_are_reported_together_with_positions() {
    let text = "[gateway]\nhost = \"a b\"\ndomain = \"d\"\ncall_address = \"here\"\n\
                ready_address = \"10.0.0.1:1\"\ncall_adress = 1\n[store]\n[retries]\nratio = true\n";
    let findings = GatewaySettings::try_parse("bad.toml", text).expect_err("findings");
    let text = findings.to_string();
    for position in [
        "bad.toml:2:",
        "bad.toml:4:",
        "bad.toml:6:",
        "bad.toml:9:",
        "store.address",
    ] {
        assert!(text.contains(position), "no {position} in {text}");
    }
}

/// An unknown policy switch and one that is not a boolean are both reported with their lines, and no switch
/// is changed by mistake.
#[test]
fn policy_errors_are_reported() {
    let text = "[gateway]\nhost = \"h\"\ndomain = \"d\"\ncall_address = \"10.0.0.1:1\"\n\
                ready_address = \"10.0.0.1:2\"\n[store]\naddress = \"10.0.0.1:3\"\n\
                [policy]\nfetch_part = true\nleave_full_link = 1\n";
    let findings = GatewaySettings::try_parse("p.toml", text).expect_err("findings");
    let text = findings.to_string();
    assert!(
        text.contains("p.toml:9:") && text.contains("p.toml:10:"),
        "{text}"
    );
    let text = "[gateway]\nhost = \"h\"\ndomain = \"d\"\ncall_address = \"10.0.0.1:1\"\n\
                ready_address = \"10.0.0.1:2\"\n[store]\naddress = \"10.0.0.1:3\"\n\
                [policy]\nfetch_parts = false\n";
    let settings = GatewaySettings::try_parse("p.toml", text).expect("settings");
    assert!(!settings.policy.fetches_parts && settings.policy.keeps_single_runs_near);
    assert!(!settings.policy.places_by_speed);
    let text = format!("{text}place_by_speed = true\n");
    let settings = GatewaySettings::try_parse("p.toml", text).expect("settings");
    assert!(settings.policy.places_by_speed);
}

/// Invalid amounts are reported with their lines, and omitted ones keep their defaults.
#[test]
fn budget_errors_are_reported() {
    let start = "[gateway]\nhost = \"h\"\ndomain = \"d\"\ncall_address = \"10.0.0.1:1\"\n\
                 ready_address = \"10.0.0.1:2\"\n[store]\naddress = \"10.0.0.1:3\"\n[budgets]\n";
    let text = format!("{start}hold_s = -1\nlost_part = 1.5\nlost = 0.1\n");
    let findings = GatewaySettings::try_parse("b.toml", text).expect_err("findings");
    let text = findings.to_string();
    for position in ["b.toml:9:", "b.toml:10:", "b.toml:11:"] {
        assert!(text.contains(position), "no {position} in {text}");
    }
    let text = format!("{start}hold_s = 4\n");
    let settings = GatewaySettings::try_parse("b.toml", text).expect("settings");
    assert_eq!(settings.budgets.hold_s, 4.0);
    assert_eq!(settings.budgets.least_s, EscrowOptions::default().least_s);
}

/// Watches wait as long as the platform's bounds allow: a watch that the store has lost has to end, and be
/// followed by a listing, before a later change has to be in effect. Without the bounds they wait 2 s.
#[test]
fn watch_wait_follows_the_bounds() {
    let watch_ms = |store: &str| {
        let text = format!(
            "[gateway]\nhost = \"h\"\ndomain = \"d\"\ncall_address = \"10.0.0.1:1\"\n\
             ready_address = \"10.0.0.1:2\"\n[store]\naddress = \"10.0.0.1:3\"\n{store}"
        );
        let settings = GatewaySettings::try_parse("w.toml", text).expect("settings");
        settings.watch_wait.as_millis()
    };
    assert_eq!(watch_ms(""), 2_000);
    let small = "settle_ms = 3000\nin_force_ms = 2000\nleave_ms = 2000\n";
    assert_eq!(watch_ms(small), 3_500);
    assert_eq!(
        watch_ms("settle_ms = 4000\nin_force_ms = 3000\nleave_ms = 3500\n"),
        5_500
    );
    assert_eq!(
        watch_ms("settle_ms = 0\nin_force_ms = 500\nleave_ms = 500\n"),
        1_000
    );
    assert_eq!(watch_ms(&format!("{small}watch_ms = 700\n")), 700);
}
