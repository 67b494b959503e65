/** Times, bounds and thresholds of the customers' shares; the placement leader and the other routers count on the same ones. */
import { noticeIntervalMilliseconds } from "../gateway/fleet-load.js";

/** Name of the group of requests without a customer. No customer has an empty name. */
export const withoutCustomer = "";

/** Four missed notices: demand and limits that are older describe no present load. */
export const maximumAgeMilliseconds = 4 * noticeIntervalMilliseconds;
/** Notices also follow changes of engines; limits and demand are sent with those that are due, and so within their bytes. */
export const minimumExchangeMilliseconds = 0.8 * noticeIntervalMilliseconds;

/** Of the 2,048 bytes a second that a router may spend on control messages, reports take 600 and limits 1,200. */
export const maximumReportBytes = 300;
export const maximumLimitBytes = 600;

/** Time constant of demand, about as long as a stream. */
export const demandWindowMilliseconds = 3_000;
/** Time constant of usual demand: longer than a burst, shorter than the change of the load over a day. */
export const usualDemandWindowMilliseconds = 30_000;
/** A customer that took less than its share may catch up by at most its share of this time. */
export const catchUpMilliseconds = 5_000;

/** Room is short from this use on, so that the last quarter is left to those within their shares. */
export const shortRoomUse = 0.75;
/** Below half of the room in use nobody is limited (the users' letter). */
export const amplyFreeRoomUse = 0.5;
/** Use that limited demand fills; the rest takes what arrives before the next notice. */
export const targetRoomUse = 0.85;
