"""Resource usage of the process."""

from bankrudder.observe import memory_bytes, process_usage


def test_usage_is_plausible_and_processor_time_does_not_decrease():
    before = process_usage()
    after = process_usage()
    assert 1_000_000 < before.memory_bytes < 16_000_000_000
    assert 0 < before.processor_s <= after.processor_s
    assert before.open_files >= 3
    assert memory_bytes() > 1_000_000
