from bankrudder.fleet import EndpointRun
from bankrudder.platform._sent_requests import SentRequests


def test_a_request_is_known_by_the_run_that_it_was_sent_to():
    sent = SentRequests()
    assert sent.note(EndpointRun("e", 1), "q1")
    assert not sent.note(EndpointRun("e", 1), "q1")
    assert sent.note(EndpointRun("e", 2), "q1")
    assert sent.note(EndpointRun("e", 1), "q2")


def test_the_requests_sent_least_recently_are_forgotten():
    sent = SentRequests(limit=2)
    run = EndpointRun("e")
    for request_id in ("q1", "q2", "q1", "q3"):
        sent.note(run, request_id)
    assert not sent.note(run, "q1")
    assert sent.note(run, "q2")
