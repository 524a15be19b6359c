"""Slow start: the load budget of an instance that has just started, and one gateway's part of it.

An instance starts with a part of its capacity and fails if it is sent several times what it can do at the
moment.  Its capacity is not reported, so one core is assumed.  The load from other gateways is not reported
either, so the budget is divided evenly among the gateways that prefer the instance, and no other gateway
sends to it while it is cold.
"""

from __future__ import annotations

from collections.abc import Sequence

from vetchusher import interface as api
from vetchusher.state import Worker

MAX_WORK_RATIO = 0.2  # part of the longest latency target: longer commands could hardly meet their target
COLD_CORES, COLD_BUDGET_RATIO = 1.0, 0.6  # assumed cores; part of the budget used, because work varies


def work_us(mean_latency_us: float, classes: Sequence[api.RequestClass]) -> float:
    """Estimate the work of a command (us) from the mean latency, bounded by the longest latency target.

    During an overload answers wait many times their work.  Without the bound, the cold instances that could
    relieve the overload would be sent less and less.
    """
    return min(mean_latency_us, MAX_WORK_RATIO * max(request_class.target for request_class in classes))


def cold_interval_us(
    now: int, started_at: int, command_us: float, settings: api.Settings, holders: int
) -> int:
    """Return the time (us) between one gateway's commands to a cold instance.

    :param command_us: work of one command
    :param holders: number of gateways that send to the instance
    """
    age_ratio = min(1.0, max(0.0, (now - started_at) / max(1, settings.warm_up_time)))
    capacity_ratio = settings.cold_capacity_ratio + (1.0 - settings.cold_capacity_ratio) * age_ratio
    return int(
        command_us * holders / (settings.overload_multiple * capacity_ratio * COLD_CORES * COLD_BUDGET_RATIO)
    )


def start_cold(
    worker: Worker, command_us: float, settings: api.Settings, holders: int, round_index: int
) -> None:
    """Reset a worker that has started and schedule the first command to it.

    The gateways learn of the start at about the same time, and one command from each of many would make the
    instance fail.  Their first commands are spread over the whole interval, so that no part of it holds more
    than its share.

    :param round_index: round of this gateway, its number among those that send to the instance
    """
    worker.cold_until = worker.started_at + settings.warm_up_time
    first_us = cold_interval_us(worker.started_at, worker.started_at, command_us, settings, holders)
    worker.next_cold_send = worker.started_at + first_us * (1 + 2 * (round_index % holders)) // (2 * holders)
    worker.failures, worker.ejected_until, worker.on_trial = 0, 0, False
    worker.limit, worker.slowness, worker.others = 0.0, 1.0, 0.0


def next_cold_worker(now: int, workers: list[Worker]) -> list[Worker]:
    """Return a list with the cold worker that has been due longest, or an empty one if none is due.

    With a random choice among many workers, a cold instance's budget would go unused, and it would stay cold
    while the warm ones are overloaded.
    """
    due = [worker for worker in workers if worker.next_cold_send <= now < worker.cold_until]
    return [min(due, key=lambda worker: worker.next_cold_send)] if due else []
