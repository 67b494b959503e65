/**
 * Holds the active configuration of this router. New versions arrive through a watch on the platform, through polls and
 * from peers. Only a higher version than the active one is ever applied, whatever the platform or a peer reports. If
 * the platform lost data, so that its head is older than the active version, this router writes its own copy as the
 * head.
 */
import type { Stream } from "most";
import { delay, monotonicNow } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import { Broadcast } from "../../common/streams.js";
import type { VersionRecord } from "../../domain/configuration-record.js";
import type { Configuration, ConfigurationSource } from "../../domain/configuration.js";
import type { KeyValueService } from "../../domain/platform.js";
import type {
    StoredVersion,
    VersionAnnouncement,
    VersionExchange,
    VersionProvider,
} from "../../domain/version-exchange.js";
import { decompressSheet } from "./compressed-sheet.js";
import { ConfigurationRepository, type ObservedHead } from "./configuration-repository.js";
import {
    fallbackPollsPerSecond,
    inconsistentPollsBeforeRepair,
    maximumOutstandingPolls,
    peerTimeoutMilliseconds,
    platformTimeoutMilliseconds,
    pollIntervalMilliseconds,
    startTimeoutMilliseconds,
} from "./constants.js";
import { HeadWatch } from "./head-watch.js";
import type { StoredRecord } from "./stored-record.js";

export interface ConfigurationStoreOptions {
    /** Active until the first version arrives. */
    readonly initial: Configuration;
    /** Builds a configuration from a sheet; throws when the sheet is invalid. */
    readonly parse: (record: VersionRecord, sheet: string) => Configuration;
    readonly keyValueService: KeyValueService;
    readonly exchange: VersionExchange;
    /** Whether this router is one of the few that watch the platform; evaluated at each poll. */
    readonly watchesPlatform: () => boolean;
    /** Number of routers in the fleet; sets the poll interval of the routers that don't watch the platform. */
    readonly routerTotal: () => number;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

const millisecondsPerSecond = 1_000;

export class ConfigurationStore implements ConfigurationSource, VersionProvider, ManagedComponent {
    readonly name = "configuration store";
    private configuration: Configuration;
    private stored: StoredVersion | undefined;
    private readonly appliedConfigurations = new Broadcast<Configuration>();
    private readonly listeners = new Set<(configuration: Configuration) => void>();
    private readonly repository: ConfigurationRepository;
    private readonly watch: HeadWatch;
    /** Version reads in progress; the key names the source and the version. */
    private readonly readsInProgress = new Set<string>();
    private readonly stopping = new AbortController();
    private timer: ReturnType<typeof setInterval> | undefined;
    private removeAnnouncementListener: (() => void) | undefined;
    private outstandingPolls = 0;
    private nextFallbackPollTime = 0;
    private inconsistentPolls = 0;
    private polledVersion = 0;
    private watchedVersion = 0;
    private unreadableVersion = 0;

    constructor(private readonly options: ConfigurationStoreOptions) {
        this.configuration = options.initial;
        this.repository = new ConfigurationRepository(options.keyValueService, platformTimeoutMilliseconds);
        this.watch = new HeadWatch(options.keyValueService, (head, version) => this.handleWatchedHead(head, version));
    }

    get current(): Configuration {
        return this.configuration;
    }

    /** Each version that is applied after the subscription. */
    get versions(): Stream<Configuration> {
        return this.appliedConfigurations.stream;
    }

    get highestVersion(): number {
        return this.configuration.version;
    }

    onChange(listener: (configuration: Configuration) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    readStored(minimumVersion: number): StoredVersion | undefined {
        return this.stored !== undefined && this.stored.record.version >= minimumVersion ? this.stored : undefined;
    }

    /**
     * Reads the platform and the peers, at most until the start timeout. Then waits for a random part of the poll
     * interval, so that routers that start together don't poll at the same time.
     */
    async start(): Promise<void> {
        const { exchange, logger, random } = this.options;
        this.removeAnnouncementListener = exchange.onAnnouncement(each => void this.readFromPeer(each));
        const sources = Promise.all([this.poll(), this.readFromPeers()]);
        await Promise.race([sources, delay(startTimeoutMilliseconds, this.stopping.signal)]);
        if (this.configuration.version === 0) {
            logger.warn("no configuration read from the platform or peers; requests are refused until one arrives");
        }
        await delay(random.next() * pollIntervalMilliseconds, this.stopping.signal);
        if (!this.stopping.signal.aborted) {
            this.timer = setInterval(() => this.checkSources(), pollIntervalMilliseconds);
        }
    }

    async stop(): Promise<void> {
        this.stopping.abort();
        clearInterval(this.timer);
        this.removeAnnouncementListener?.();
        this.watch.close();
        this.appliedConfigurations.close();
    }

    /**
     * Applies a version if it is higher than the active one. Returns whether it was applied. Throws a
     * VersionCorruptError when the sheet can't be decompressed; another router's copy may still be intact.
     */
    applyIfNewer(version: StoredVersion): boolean {
        const { record } = version;
        if (this.stopping.signal.aborted || record.version <= this.configuration.version) {
            return false;
        }
        const sheet = decompressSheet(version.compressedSheet);
        try {
            this.configuration = this.options.parse(record, sheet);
        }
        catch (error) {
            this.rejectUnreadable(record, error);
            return false;
        }
        this.stored = version;
        this.inconsistentPolls = 0;
        this.publish();
        return true;
    }

    private publish(): void {
        const { configuration } = this;
        const { version, pushId, author } = configuration;
        this.options.logger.info("configuration version applied", { version, pushId, author });
        this.options.metrics.gauge("pomelostall.configuration.version", version);
        this.options.exchange.announce(version);
        this.appliedConfigurations.publish(configuration);
        for (const listener of [...this.listeners]) {
            this.notifyListener(listener);
        }
    }

    private notifyListener(listener: (configuration: Configuration) => void): void {
        try {
            listener(this.configuration);
        }
        catch (error) {
            this.options.logger.error("a listener of the configuration store failed; the new version stays active", {
                error: String(error),
            });
        }
    }

    private rejectUnreadable(record: VersionRecord, error: unknown): void {
        if (record.version !== this.unreadableVersion) {
            this.unreadableVersion = record.version;
            this.options.metrics.increment("pomelostall.configuration.unreadable");
            this.options.logger.error("configuration version can't be parsed; the active version stays in use", {
                version: record.version,
                inForce: this.configuration.version,
                error: String(error),
            });
        }
    }

    /** Checks the peers' announcements, and the platform if this router watches it or its fallback poll is due. */
    private checkSources(): void {
        const announced = this.options.exchange.highestAnnounced();
        if (announced !== undefined) {
            void this.readFromPeer(announced);
        }
        if (this.options.watchesPlatform()) {
            this.watch.open();
            void this.poll();
            return;
        }
        this.watch.close();
        if (monotonicNow() >= this.nextFallbackPollTime) {
            void this.poll();
            this.scheduleFallbackPoll();
        }
    }

    private scheduleFallbackPoll(): void {
        const spacing = (this.options.routerTotal() * millisecondsPerSecond) / fallbackPollsPerSecond;
        const jittered = spacing * (0.5 + this.options.random.next());
        this.nextFallbackPollTime = monotonicNow() + Math.max(pollIntervalMilliseconds, jittered);
    }

    private async poll(): Promise<void> {
        if (this.outstandingPolls >= maximumOutstandingPolls) {
            return;
        }
        this.outstandingPolls++;
        try {
            await this.handlePolledHead(await this.repository.readHead());
        }
        catch (error) {
            this.options.metrics.increment("pomelostall.configuration.poll_failed");
            this.options.logger.debug("configuration head can't be read from the platform; retrying at the next poll", {
                error: String(error),
            });
        }
        finally {
            this.outstandingPolls--;
        }
    }

    private async handlePolledHead(observed: ObservedHead): Promise<void> {
        const version = observed.head?.version ?? 0;
        this.reopenSilentWatch(version);
        if (observed.head !== undefined && version > this.configuration.version) {
            await this.readFromPlatform(observed.head);
        }
        else if (version < this.configuration.version) {
            await this.repairHead(observed, async () => this.stored);
        }
        else if (observed.head !== undefined && observed.head.pushId !== this.configuration.pushId) {
            const { head } = observed;
            await this.repairHead(observed, async () => renumberAsNextVersion(await this.repository.readVersion(head)));
        }
        else {
            this.inconsistentPolls = 0;
        }
    }

    /** Reopens the watch if two successive polls returned a version that the watch has not delivered. */
    private reopenSilentWatch(version: number): void {
        if (this.watch.isOpen && version > this.watchedVersion && version === this.polledVersion) {
            this.watch.close();
            this.watch.open();
            this.watchedVersion = version;
        }
        this.polledVersion = version;
    }

    private handleWatchedHead(head: StoredRecord, version: StoredVersion | undefined): void {
        this.watchedVersion = Math.max(this.watchedVersion, head.version);
        if (version !== undefined) {
            this.applyWatchedVersion(version);
        }
        else if (head.version > this.configuration.version) {
            this.readFromPlatform(head).catch(() => undefined);
        }
    }

    private applyWatchedVersion(version: StoredVersion): void {
        try {
            this.applyIfNewer(version);
        }
        catch (error) {
            this.options.logger.error(
                "configuration version from the watch is corrupt and not applied; reading it again at the next poll",
                {
                    error: String(error),
                },
            );
        }
    }

    private async readFromPlatform(head: StoredRecord): Promise<void> {
        await this.readOnce(`platform ${head.version}`, head.version, () => this.repository.readVersion(head));
    }

    /**
     * Writes a new head once several successive polls showed that the platform lost data. If the head is older than the
     * active version, the active version is written. If the head has the number of the active version but comes from
     * another push, the head's sheet is written under the next number. If the platform merely returned stale data, the
     * compare-and-swap fails and nothing changes.
     */
    private async repairHead(
        observed: ObservedHead,
        selectVersion: () => Promise<StoredVersion | undefined>,
    ): Promise<void> {
        this.inconsistentPolls++;
        if (this.inconsistentPolls < inconsistentPollsBeforeRepair) {
            return;
        }
        this.inconsistentPolls = 0;
        const version = await selectVersion();
        if (version === undefined) {
            return;
        }
        const repaired = await this.repository.accept(version, observed.revision);
        this.options.logger.warn("the platform lost configuration versions; tried to write a new head", {
            found: observed.head?.version ?? 0,
            inForce: this.configuration.version,
            written: version.record.version,
            repaired,
        });
    }

    private async readFromPeers(): Promise<void> {
        const announcements = await this.options.exchange.queryPeerVersions(peerTimeoutMilliseconds);
        const byVersion = [...announcements].sort((left, right) => right.version - left.version);
        for (const announcement of byVersion) {
            if (announcement.version <= this.configuration.version) {
                return;
            }
            await this.readFromPeer(announcement);
        }
    }

    private async readFromPeer(announcement: VersionAnnouncement): Promise<void> {
        const { routerId, version } = announcement;
        try {
            await this.readOnce(
                `${routerId} ${version}`,
                version,
                () => this.options.exchange.readVersion(routerId, version, peerTimeoutMilliseconds),
            );
        }
        catch (error) {
            this.options.logger.debug("configuration version can't be read from a peer", {
                routerId,
                error: String(error),
            });
        }
    }

    private async readOnce(
        readKey: string,
        version: number,
        read: () => Promise<StoredVersion | undefined>,
    ): Promise<void> {
        if (
            version <= this.configuration.version || version === this.unreadableVersion
            || this.readsInProgress.has(readKey)
        ) {
            return;
        }
        this.readsInProgress.add(readKey);
        try {
            const stored = await read();
            if (stored !== undefined) {
                this.applyIfNewer(stored);
            }
        }
        finally {
            this.readsInProgress.delete(readKey);
        }
    }
}

/** Returns the same sheet as a new version with the next number. */
function renumberAsNextVersion(stored: StoredVersion): StoredVersion {
    const { record, compressedSheet } = stored;
    const version = record.version + 1;
    const renumbered = { ...record, version, parent: record.version, pushId: `${record.pushId}-${version}` };
    return { record: renumbered, compressedSheet };
}
