/** How the fleet's retry budget is divided; the placement leader and the other routers count on the same figures. */
import { noticeIntervalMilliseconds } from "./fleet-load.js";

/**
 * Share of the budget that is used. The rest is a margin, since the operators count in sliding windows and by the time
 * of arrival, which is later than the time of sending, and since two routers may lead for a moment.
 */
export const usableBudgetShare = 0.7;
/** Part of its own share that a router keeps while the leader grants the rest, for the time without a leader. */
export const reservedShare = 0.25;
/** Part of its own share of the fixed number that the successor of a process has in its first window, out of the margin. */
export const successorShare = 0.2;
/** Grants of a notice apply until the next one, which may be one interval late. */
export const grantLifetimeMilliseconds = 2 * noticeIntervalMilliseconds;
