//! `LatestValueFile`: the latest value is read back; a damaged one is dropped.

use transport::LatestValueFile;

#[test]
fn the_latest_value_is_read_back_and_a_damaged_one_is_dropped() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("some");
    let (file, stored) = LatestValueFile::start(dir.path(), "some").unwrap();
    assert_eq!(stored, None);
    (0..=200).for_each(|byte| file.store(vec![byte; 3_000]));
    // Returns once the latest value is written.
    file.stop();
    let (_, stored) = LatestValueFile::start(dir.path(), "some").unwrap();
    assert_eq!(stored, Some(vec![200; 3_000]));
    let intact = std::fs::read(&path).unwrap();
    for damaged in
        [&intact[..intact.len() - 1], &intact[..2], &[], &[&intact[..9], &[0], &intact[10..]].concat()]
    {
        std::fs::write(&path, damaged).unwrap();
        let (_, stored) = LatestValueFile::start(dir.path(), "some").unwrap();
        assert_eq!(stored, None);
    }
}
