//! Tests of the deployment files under `examples/`.

use std::path::PathBuf;

use beechsaddle_core::catalogue::ServiceKind;
use beechsaddle_lab::load::FleetFile;

fn read_example(name: &str) -> FleetFile {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    FleetFile::try_read(path.join(name)).unwrap()
}

#[test]
fn fleet_file_jadran() {
    let file = read_example("jadran.toml");
    let domains: Vec<&str> = file
        .domains
        .iter()
        .map(|domain| domain.name.as_str())
        .collect();
    assert_eq!(domains, ["split-hala", "rijeka-hala", "zadar-hala"]);
    assert_eq!((file.routers(), file.replicas()), (8, 15));
    assert_eq!(file.workspaces.len(), 10);
}

#[test]
fn fleet_file_stmk() {
    let file = read_example("stmk.toml");
    let domains: Vec<&str> = file
        .domains
        .iter()
        .map(|domain| domain.name.as_str())
        .collect();
    assert_eq!(domains, ["graz-nord", "graz-sued", "leoben"]);
    assert_eq!((file.routers(), file.replicas()), (7, 15));
    assert_eq!(file.workspaces.len(), 10);
}

#[test]
fn fleet_file_confirmations_not_repeatable() {
    for name in ["jadran.toml", "stmk.toml"] {
        let file = read_example(name);
        let plain = file.service_of(ServiceKind::Plain).unwrap();
        assert!(!plain.repeatable, "{name}");
    }
}
