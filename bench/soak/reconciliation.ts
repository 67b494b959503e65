/** Reconciles what the callers observed with the records of the stand-ins. */
import { expectedAnswer } from "../../src/stand-ins/backend-server/index.js";
import type { StandInFleet } from "../../src/stand-ins/fleet/stand-in-fleet.js";
import type { RunningRouter } from "../support/router-fleet.js";
import type { BookingObservation, ChatObservation } from "./callers.js";

const okStatus = 200;
const createdStatus = 201;

/** Number of violations by kind; all must be 0. */
export interface ReconciliationResult {
    /** Answers that are incomplete or belong to another caller. */
    readonly wrongAnswers: number;
    /** Chats whose outcome was reported as `unknown`, although chats are idempotent and can be retried. */
    readonly unknownChats: number;
    /** Requests that ran although their outcome was reported as `not-run`. */
    readonly falseNotRun: number;
    readonly bookingsRunTwice: number;
    /** Bookings that were confirmed to their caller but not run exactly once. */
    readonly lostBookings: number;
    /** Times that a router applied a configuration version that is not newer than the previous one. */
    readonly revertedVersions: number;
}

export function reconcile(
    chats: readonly ChatObservation[],
    bookings: readonly BookingObservation[],
    standIns: StandInFleet,
    routers: readonly RunningRouter[],
): ReconciliationResult {
    const ranRequests = new Set(
        standIns.backendServers.flatMap(({ server }) => server.engine.record.runs.map(run => run.requestId)),
    );
    const { record } = standIns.services.get("bookings")!;
    const keys = new Set(bookings.map(booking => booking.key));
    return {
        wrongAnswers: chats.filter(chat => chat.status === okStatus && !isExpectedAnswer(chat)).length,
        unknownChats: chats.filter(chat => chat.outcome === "unknown").length,
        falseNotRun: chats.filter(chat => chat.outcome === "not-run" && ranRequests.has(chat.requestId)).length
            + [...keys].filter(key => allNotRun(key, bookings) && record.runsOfKey(key) > 0).length,
        bookingsRunTwice: [...keys].filter(key => record.runsOfKey(key) > 1).length,
        lostBookings: bookings.filter(each => each.status === createdStatus && record.runsOfKey(each.key) !== 1).length,
        revertedVersions: routers.reduce((total, router) => total + countDecreases(router.versions), 0),
    };
}

function isExpectedAnswer(chat: ChatObservation): boolean {
    return chat.text === expectedAnswer([{ role: "user", content: chat.content }], chat.maximumTokens).text;
}

function allNotRun(key: string, bookings: readonly BookingObservation[]): boolean {
    return bookings.filter(booking => booking.key === key).every(booking => booking.outcome === "not-run");
}

function countDecreases(versions: readonly number[]): number {
    return versions.filter((version, index) => index > 0 && version <= versions[index - 1]!).length;
}
