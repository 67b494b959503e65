/**
 * Operations on the configuration for operators: push a sheet, wait until routers have applied it, read old versions,
 * and roll back by pushing an old sheet as a new version.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { VersionRecord } from "../../domain/configuration-record.js";
import type { KeyValueService } from "../../domain/platform.js";
import type { RowDifference } from "../../domain/sheet-difference.js";
import type { FleetVersions, StoredVersion, VersionConfirmation } from "../../domain/version-exchange.js";
import {
    PlatformUnavailableError,
    PushConflictError,
    PushUnsettledError,
    VersionNotFoundError,
} from "../../errors/index.js";
import { compressSheet, decompressSheet } from "./compressed-sheet.js";
import { ConfigurationRepository, type ObservedHead } from "./configuration-repository.js";
import { toVersionRecord } from "./stored-head.js";

export interface PushServiceOptions {
    readonly keyValueService: KeyValueService;
    /** Throws a SheetInvalidError when the sheet is invalid. */
    readonly check: (sheet: string) => void;
    readonly compare: (before: string, after: string) => readonly RowDifference[];
    /** Undefined when no router can be queried; no version is confirmed then. */
    readonly fleetVersions?: FleetVersions;
    readonly createPushId: () => string;
    /** Wall clock; used only for the time in the version's record. */
    readonly wallClock: () => Date;
    readonly callTimeoutMilliseconds?: number;
    readonly settleTimeoutMilliseconds?: number;
    readonly keptVersionTotal?: number;
}

export interface PushRequest {
    readonly sheet: string;
    readonly author: string;
    /** Version that the sheet was edited from; defaults to the head at the time of the push. */
    readonly parent?: number;
}

/** Which routers have applied an accepted version, and which have not confirmed it. */
export interface ActivationReport {
    readonly version: number;
    readonly confirmed: readonly VersionConfirmation[];
    readonly unconfirmed: readonly VersionConfirmation[];
    readonly waitedMilliseconds: number;
}

export interface VersionWithSheet {
    readonly record: VersionRecord;
    readonly sheet: string;
}

const defaultCallTimeoutMilliseconds = 3_000;
const defaultSettleTimeoutMilliseconds = 20_000;
const retryDelayMilliseconds = 250;
const confirmationPollMilliseconds = 200;
const fleetTimeoutMilliseconds = 1_000;

export class PushService {
    private readonly repository: ConfigurationRepository;

    constructor(private readonly options: PushServiceOptions) {
        this.repository = new ConfigurationRepository(
            options.keyValueService,
            options.callTimeoutMilliseconds ?? defaultCallTimeoutMilliseconds,
            options.keptVersionTotal,
        );
    }

    /** Number of retained versions, whose sheets can be read. */
    get keptVersionTotal(): number {
        return this.repository.keptVersionTotal;
    }

    /**
     * Pushes a sheet as a new version. Resolves once the version is accepted. Throws a SheetInvalidError for an invalid
     * sheet, a PushConflictError with the accepted version when another push won, a VersionNotFoundError when there is
     * no head to compare with, a PushUnsettledError when the result of the write could not be determined, and a
     * PlatformUnavailableError when nothing was written.
     */
    async push(request: PushRequest): Promise<VersionRecord> {
        this.options.check(request.sheet);
        const [observed, highestFleetVersion] = await Promise.all([
            this.repository.readHead(),
            this.readHighestFleetVersion(),
        ]);
        const headVersion = observed.head?.version ?? 0;
        if (request.parent !== undefined && request.parent !== headVersion) {
            throw await this.createConflictError(observed, request.sheet);
        }
        // If the platform lost data, routers may be ahead of the head. They ignore versions up to their active one.
        const parent = Math.max(headVersion, highestFleetVersion);
        const record: VersionRecord = {
            version: parent + 1,
            pushId: this.options.createPushId(),
            parent,
            author: request.author,
            acceptedAt: this.options.wallClock().toISOString(),
        };
        await this.retryUntilSettled(
            { record, compressedSheet: compressSheet(request.sheet) },
            observed.revision,
            request.sheet,
        );
        await this.repository.prune(record.version).catch(() => undefined);
        return record;
    }

    /** Pushes the sheet of an old version as a new version. */
    async rollBack(version: number, author: string): Promise<VersionRecord> {
        const { sheet } = await this.show(version);
        return this.push({ sheet, author });
    }

    /** Lists the records of the retained versions, newest first. */
    async history(maximumVersions: number): Promise<readonly VersionRecord[]> {
        return (await this.repository.listRecords()).slice(0, maximumVersions);
    }

    /** Reads a retained version with its sheet; the head if no version is given. */
    async show(version?: number): Promise<VersionWithSheet> {
        const head = version === undefined
            ? (await this.repository.readHead()).head
            : await this.repository.readRecord(version);
        if (head === undefined) {
            throw new VersionNotFoundError(0);
        }
        const { compressedSheet } = await this.repository.readVersion(head);
        return { record: toVersionRecord(head), sheet: decompressSheet(compressedSheet) };
    }

    /** Lists the rows that differ between a version, by default the head, and the given sheet. */
    async diff(sheet: string, version?: number): Promise<readonly RowDifference[]> {
        this.options.check(sheet);
        const { head } = await this.repository.readHead();
        const before = version === undefined && head === undefined ? "" : (await this.show(version)).sheet;
        return this.options.compare(before, sheet);
    }

    /**
     * Waits until every router has applied the version or a higher one, or until the timeout. Returns at once if no
     * router can be queried.
     */
    async awaitActivation(version: number, timeoutMilliseconds: number): Promise<ActivationReport> {
        const start = monotonicNow();
        for (;;) {
            const routers = await this.options.fleetVersions?.read(fleetTimeoutMilliseconds) ?? [];
            const unconfirmed = routers.filter(router => router.version < version);
            const waitedMilliseconds = Math.round(monotonicNow() - start);
            const complete = routers.length > 0 && unconfirmed.length === 0;
            if (complete || waitedMilliseconds >= timeoutMilliseconds || this.options.fleetVersions === undefined) {
                const confirmed = routers.filter(router => router.version >= version);
                return { version, confirmed, unconfirmed, waitedMilliseconds };
            }
            await delay(confirmationPollMilliseconds);
        }
    }

    /**
     * Retries the compare-and-swap until its result is known. The push ID shows whether an earlier attempt took effect.
     */
    private async retryUntilSettled(version: StoredVersion, headRevision: number, sheet: string): Promise<void> {
        const timeout = this.options.settleTimeoutMilliseconds ?? defaultSettleTimeoutMilliseconds;
        const deadline = monotonicNow() + timeout;
        let mayHaveTakenEffect = false;
        for (;;) {
            try {
                if (await this.repository.accept(version, headRevision) || await this.isRecorded(version.record)) {
                    return;
                }
                throw await this.createConflictError(await this.repository.readHead(), sheet);
            }
            catch (error) {
                if (!(error instanceof PlatformUnavailableError)) {
                    throw error;
                }
                mayHaveTakenEffect ||= error.mayHaveTakenEffect;
                if (monotonicNow() >= deadline) {
                    throw mayHaveTakenEffect
                        ? new PushUnsettledError(version.record.pushId, version.record.version, error)
                        : error;
                }
            }
            await delay(retryDelayMilliseconds);
        }
    }

    private async isRecorded(record: VersionRecord): Promise<boolean> {
        return (await this.repository.findRecord(record.version))?.pushId === record.pushId;
    }

    private async createConflictError(
        observed: ObservedHead,
        sheet: string,
    ): Promise<PushConflictError | VersionNotFoundError> {
        if (observed.head === undefined) {
            return new VersionNotFoundError(0);
        }
        const winner = await this.repository.readVersion(observed.head);
        const differences = this.options.compare(decompressSheet(winner.compressedSheet), sheet);
        return new PushConflictError(winner.record, differences);
    }

    private async readHighestFleetVersion(): Promise<number> {
        try {
            const routers = await this.options.fleetVersions?.read(fleetTimeoutMilliseconds) ?? [];
            return Math.max(0, ...routers.map(router => router.version));
        }
        catch {
            return 0;
        }
    }
}
