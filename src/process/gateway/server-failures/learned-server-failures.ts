/**
 * Learns from the attempts of both request paths which servers fail their requests, and keeps them out of new ones. Answers the
 * load pattern of a server that accepts connections and passes its health checks while it fails what is sent to it: it
 * is idle, so that a choice by load sends it more than its share.
 *
 * A failure counts against the servers of its path, a success for them, and a server is kept out once its failures outweigh its
 * successes clearly. Where no other server of the service has succeeded lately, nobody is: the fault is elsewhere. Each belief
 * is of one start of a server.
 */
import { LRUCache } from "lru-cache";
import { monotonicNow } from "../../../common/clock.js";
import type { Logger } from "../../../common/logger.js";
import type { Metrics } from "../../../common/metrics.js";
import type { KnownPause } from "../../../domain/gateway/fleet-knowledge.js";
import { isSameStart, type ServerEntry } from "../../../domain/gateway/server-entry.js";
import { shareBlame } from "./failure-blame.js";
import { AttemptEvidence, type ObservedAttempt, type ObservedRequest, type ServerFailures } from "./types.js";

type Failure = Exclude<AttemptEvidence, typeof AttemptEvidence.success | typeof AttemptEvidence.none>;

/** Blame from which on a server is kept out: two connections that broke off, or three error responses. */
const keepOutScore = 3;
const blameOfFailure: Readonly<Record<Failure, number>> = {
    // A sound server answers some requests with an error that is the request's own.
    [AttemptEvidence.errorResponse]: 1,
    [AttemptEvidence.brokeOff]: 1.5,
    [AttemptEvidence.invalid]: keepOutScore,
};
/** A success outweighs a failure, so that a server which fails less than every second request stays in use. */
const creditOfSuccess = 1.5;
const maximumScore = 4 * keepOutScore;
/** Failures and successes count for this time after the last of their kind. */
const memoryMilliseconds = 10_000;
const initialKeepOutMilliseconds = 4_000;
const maximumKeepOutMilliseconds = 8_000;
/** Time for which a due trial waits for a request that may be repeated. */
const repeatableTrialMilliseconds = 4_000;
/** Bounds memory; a fleet has fewer servers. */
const maximumServers = 4_096;

class ServerRecord {
    /** Blame for failures that no success has outweighed. */
    score = 0;
    lastFailureAt = -Infinity;
    /** Monotonic time at which a trial is due; undefined for a server that is not kept out. */
    trialDueAt: number | undefined;
    keepOutMilliseconds = initialKeepOutMilliseconds;
    hasRunningTrial = false;

    constructor(readonly server: ServerEntry) {}

    get isKeptOut(): boolean {
        return this.trialDueAt !== undefined;
    }

    acquit(blame: number): void {
        this.score = Math.max(0, this.score - blame);
        if (this.score < keepOutScore) {
            this.trialDueAt = undefined;
        }
    }

    isTrialDue(mayBeRepeated: boolean): boolean {
        const wait = mayBeRepeated ? 0 : repeatableTrialMilliseconds;
        return !this.hasRunningTrial && monotonicNow() >= this.trialDueAt! + wait;
    }
}

/** What one error response has added to the records of the servers of its path. */
interface ErrorBlame {
    readonly records: readonly ServerRecord[];
    readonly blames: readonly number[];
    /** Whether the server that answered had succeeded since its failure before. */
    readonly hadSucceeded: boolean;
}

export class LearnedServerFailures implements ServerFailures {
    /** Of the latest start of each server, by its ID. */
    private readonly records = new LRUCache<string, ServerRecord>({ max: maximumServers });
    /** Monotonic times of the last successes of servers by their IDs, for each service. */
    private readonly successes = new Map<string, LRUCache<string, number>>();

    constructor(private readonly metrics: Metrics, private readonly logger: Logger) {}

    isKeptOut(server: ServerEntry, mayBeRepeated: boolean): boolean {
        const record = this.find(server);
        return record?.isKeptOut === true
            && !record.isTrialDue(mayBeRepeated)
            && this.hasSoundServer(server.service);
    }

    /** Servers that are kept out, with the time until their next trial. */
    get knownFailing(): KnownPause[] {
        const now = monotonicNow();
        return [...this.records.values()].flatMap(({ server: { id, bornAt }, trialDueAt }) =>
            trialDueAt === undefined ? [] : [{ id, bornAt, milliseconds: Math.max(0, trialDueAt - now) }]
        );
    }

    /** Keeps a server out that another router keeps out. */
    learnFailing(server: ServerEntry, milliseconds: number): void {
        const record = this.recordOf(server);
        record.score = Math.max(keepOutScore, record.score);
        record.trialDueAt ??= monotonicNow() + Math.min(milliseconds, maximumKeepOutMilliseconds);
    }

    beginRequest(): ObservedRequest {
        const errors: ErrorBlame[] = [];
        return { beginAttempt: path => this.beginAttempt(path, errors) };
    }

    private beginAttempt(path: readonly ServerEntry[], errorsOfRequest: ErrorBlame[]): ObservedAttempt {
        const trials = path.flatMap(server => this.find(server) ?? [])
            .filter(record => record.isKeptOut && record.isTrialDue(true));
        trials.forEach(record => {
            record.hasRunningTrial = true;
        });
        let ended = false;
        return {
            end: evidence => {
                if (!ended) {
                    ended = true;
                    trials.forEach(record => {
                        record.hasRunningTrial = false;
                    });
                    this.record(path, evidence, errorsOfRequest);
                }
            },
        };
    }

    private record(path: readonly ServerEntry[], evidence: AttemptEvidence, errorsOfRequest: ErrorBlame[]): void {
        switch (evidence) {
            case AttemptEvidence.success:
                path.forEach(server => this.recordSuccess(server));
                return;
            case AttemptEvidence.invalid:
                this.recordFailures(path.slice(0, 1), evidence);
                return;
            case AttemptEvidence.brokeOff:
                this.recordFailures(path, evidence);
                return;
            case AttemptEvidence.errorResponse:
                errorsOfRequest.push(this.recordFailures(path, evidence));
                acquitIfRequestIsAtFault(errorsOfRequest);
                return;
            case AttemptEvidence.none:
        }
    }

    private recordSuccess(server: ServerEntry): void {
        const ofService = this.successes.get(server.service) ?? new LRUCache<string, number>({ max: maximumServers });
        this.successes.set(server.service, ofService);
        ofService.set(server.id, monotonicNow());
        const record = this.find(server);
        if (record?.isKeptOut === true) {
            this.logger.info("backend server no longer fails its requests", { server: server.id });
        }
        if (record === undefined || record.isKeptOut || record.score <= creditOfSuccess) {
            this.records.delete(server.id);
        }
        else {
            record.score -= creditOfSuccess;
        }
    }

    private recordFailures(path: readonly ServerEntry[], failure: Failure): ErrorBlame {
        const records = path.map(server => this.recordOf(server));
        const blames = shareBlame(records).map(share => share * blameOfFailure[failure]);
        const hadSucceeded = this.lastSuccessAt(path[0]!) > records[0]!.lastFailureAt;
        records.forEach((record, index) => {
            const blame = blames[index]!;
            record.score = Math.min(maximumScore, record.score + blame);
            record.lastFailureAt = blame > 0 ? monotonicNow() : record.lastFailureAt;
            const hasFailedTrial = record.isKeptOut && blame > 0 && monotonicNow() >= record.trialDueAt!;
            if (hasFailedTrial || (!record.isKeptOut && record.score >= keepOutScore)) {
                this.keepOut(record, failure);
            }
        });
        return { records, blames, hadSucceeded };
    }

    private lastSuccessAt({ id, service }: ServerEntry): number {
        return this.successes.get(service)?.peek(id) ?? -Infinity;
    }

    private find(server: ServerEntry): ServerRecord | undefined {
        const record = this.records.peek(server.id);
        return record !== undefined && isSameStart(record.server, server) ? record : undefined;
    }

    private recordOf(server: ServerEntry): ServerRecord {
        let record = this.find(server);
        const isOutdated = record !== undefined && !record.isKeptOut
            && monotonicNow() - record.lastFailureAt > memoryMilliseconds;
        if (record === undefined || isOutdated) {
            record = new ServerRecord(server);
            this.records.set(server.id, record);
        }
        return record;
    }

    private keepOut(record: ServerRecord, failure: Failure): void {
        const { server } = record;
        record.keepOutMilliseconds = record.isKeptOut
            ? Math.min(maximumKeepOutMilliseconds, 2 * record.keepOutMilliseconds)
            : initialKeepOutMilliseconds;
        record.trialDueAt = monotonicNow() + record.keepOutMilliseconds;
        this.successes.get(server.service)?.delete(server.id);
        this.metrics.increment("pomelostall.gateway.servers_kept_out", 1, { evidence: failure });
        this.logger.warn("backend server fails its requests; kept out of new ones", {
            server: server.id,
            evidence: failure,
            milliseconds: record.keepOutMilliseconds,
        });
    }

    /** Whether a server of the service that is not kept out has succeeded lately. */
    private hasSoundServer(service: string): boolean {
        // The cache lists the latest first.
        const latest = this.successes.get(service)?.values().next().value;
        return latest !== undefined && latest > monotonicNow() - memoryMilliseconds;
    }
}

/** Takes back the blame for the errors of a request that several servers answered with one, if any of them is sound otherwise. */
function acquitIfRequestIsAtFault(errors: readonly ErrorBlame[]): void {
    if (errors.length < 2 || !errors.some(({ hadSucceeded }) => hadSucceeded)) {
        return;
    }
    errors.forEach(({ records, blames }) => records.forEach((record, index) => record.acquit(blames[index]!)));
}
