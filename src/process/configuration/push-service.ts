/**
 * What operators do with the configuration: push a sheet, wait until it is in force, read old versions, and roll back by
 * pushing an old sheet as a new version.
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
import { recordOf } from "./stored-head.js";

export interface PushServiceOptions {
    readonly keyValueService: KeyValueService;
    /** Throws when the sheet has faults. */
    readonly check: (sheet: string) => void;
    readonly compare: (before: string, after: string) => readonly RowDifference[];
    /** Undefined when no router can be asked; then nothing is confirmed. */
    readonly fleetVersions?: FleetVersions;
    readonly createPushId: () => string;
    /** Wall clock, for the record only. */
    readonly wallClock: () => Date;
    readonly callTimeoutMilliseconds?: number;
    readonly settleTimeoutMilliseconds?: number;
    readonly keptVersionTotal?: number;
}

export interface PushRequest {
    readonly sheet: string;
    readonly author: string;
    /** Version that the sheet was made from; without it, the head at the time of the push. */
    readonly parent?: number;
}

/** Where an accepted version is in force. */
export interface ActivationReport {
    readonly version: number;
    readonly confirmed: readonly VersionConfirmation[];
    readonly unconfirmed: readonly VersionConfirmation[];
    readonly waitedMilliseconds: number;
}

export interface ShownVersion {
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

    /** Versions whose sheets can be shown. */
    get keptVersionTotal(): number {
        return this.repository.keptVersionTotal;
    }

    /**
     * Pushes a sheet. Resolves once it is accepted. Throws a SheetInvalidError, a PushConflictError with the winner, a
     * PushUnsettledError when the platform never told what became of it, or a PlatformUnavailableError when nothing was
     * written.
     */
    async push(request: PushRequest): Promise<VersionRecord> {
        this.options.check(request.sheet);
        const [observed, fleetHighest] = await Promise.all([this.repository.readHead(), this.readFleetHighest()]);
        const headVersion = observed.head?.version ?? 0;
        if (request.parent !== undefined && request.parent !== headVersion) {
            throw await this.conflict(observed, request.sheet);
        }
        // The fleet can be ahead of a head that the platform lost; routers would ignore a version they have passed.
        const parent = Math.max(headVersion, fleetHighest);
        const record: VersionRecord = {
            version: parent + 1,
            pushId: this.options.createPushId(),
            parent,
            author: request.author,
            acceptedAt: this.options.wallClock().toISOString(),
        };
        await this.settle({ record, compressedSheet: compressSheet(request.sheet) }, observed.revision, request.sheet);
        await this.repository.prune(record.version).catch(() => undefined);
        return record;
    }

    /** Pushes the sheet of an old version as a new one. */
    async rollBack(version: number, author: string): Promise<VersionRecord> {
        const { sheet } = await this.show(version);
        return this.push({ sheet, author });
    }

    /** Records of the kept versions, the newest first. */
    async history(maximumVersions: number): Promise<readonly VersionRecord[]> {
        return (await this.repository.listRecords()).slice(0, maximumVersions);
    }

    /** A kept version with its sheet; without a number, the head. */
    async show(version?: number): Promise<ShownVersion> {
        const head = version === undefined
            ? (await this.repository.readHead()).head
            : await this.repository.readRecord(version);
        if (head === undefined) {
            throw new VersionNotFoundError(0);
        }
        const { compressedSheet } = await this.repository.readVersion(head);
        return { record: recordOf(head), sheet: decompressSheet(compressedSheet) };
    }

    /** The rows that differ from the head to the given sheet. */
    async diff(sheet: string, version?: number): Promise<readonly RowDifference[]> {
        this.options.check(sheet);
        const { head } = await this.repository.readHead();
        const before = version === undefined && head === undefined ? "" : (await this.show(version)).sheet;
        return this.options.compare(before, sheet);
    }

    /** Waits until every router has the version in force, or the time is over. */
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

    /** Repeats the compare-and-swap until its result is known; the push ID tells whether an earlier try took effect. */
    private async settle(version: StoredVersion, headRevision: number, sheet: string): Promise<void> {
        const timeout = this.options.settleTimeoutMilliseconds ?? defaultSettleTimeoutMilliseconds;
        const deadline = monotonicNow() + timeout;
        let mayHaveTakenEffect = false;
        for (;;) {
            try {
                if (await this.repository.accept(version, headRevision) || await this.isRecorded(version.record)) {
                    return;
                }
                throw await this.conflict(await this.repository.readHead(), sheet);
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

    private async conflict(observed: ObservedHead, sheet: string): Promise<PushConflictError | VersionNotFoundError> {
        if (observed.head === undefined) {
            return new VersionNotFoundError(0);
        }
        const winner = await this.repository.readVersion(observed.head);
        const differences = this.options.compare(decompressSheet(winner.compressedSheet), sheet);
        return new PushConflictError(winner.record, differences);
    }

    private async readFleetHighest(): Promise<number> {
        try {
            const routers = await this.options.fleetVersions?.read(fleetTimeoutMilliseconds) ?? [];
            return Math.max(0, ...routers.map(router => router.version));
        }
        catch {
            return 0;
        }
    }
}
