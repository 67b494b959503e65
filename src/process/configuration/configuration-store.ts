/**
 * The configuration in force in this router. Versions come from the platform's watch and polls and from peers; only a
 * higher version is ever applied, whatever the platform or a peer says. A head that went back, because the platform lost
 * data, is written again from what this router holds.
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
    backstopPollsPerSecond,
    maximumOutstandingPolls,
    olderHeadsBeforeRestore,
    peerTimeoutMilliseconds,
    platformTimeoutMilliseconds,
    pollMilliseconds,
    startTimeoutMilliseconds,
} from "./constants.js";
import { HeadWatch } from "./head-watch.js";
import type { StoredHead } from "./stored-head.js";

export interface ConfigurationStoreOptions {
    /** In force until the first version arrives. */
    readonly initial: Configuration;
    /** Builds a configuration from a sheet; throws when the sheet can't be read. */
    readonly parse: (record: VersionRecord, sheet: string) => Configuration;
    readonly keyValueService: KeyValueService;
    readonly exchange: VersionExchange;
    /** Whether this router is one of the few that watch the platform; asked again at each poll. */
    readonly watchesPlatform: () => boolean;
    /** Routers in the fleet, by which the polls of those that don't watch are spaced. */
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
    private readonly applied = new Broadcast<Configuration>();
    private readonly listeners = new Set<(configuration: Configuration) => void>();
    private readonly repository: ConfigurationRepository;
    private readonly watch: HeadWatch;
    /** Reads of versions under way, by source and version. */
    private readonly reading = new Set<string>();
    private readonly stopping = new AbortController();
    private timer: ReturnType<typeof setInterval> | undefined;
    private removeAnnouncementListener: (() => void) | undefined;
    private outstandingPolls = 0;
    private nextBackstopPoll = 0;
    private olderHeads = 0;
    private polledVersion = 0;
    private watchedVersion = 0;
    private unreadableVersion = 0;

    constructor(private readonly options: ConfigurationStoreOptions) {
        this.configuration = options.initial;
        this.repository = new ConfigurationRepository(options.keyValueService, platformTimeoutMilliseconds);
        this.watch = new HeadWatch(options.keyValueService, (head, version) => this.receiveWatched(head, version));
    }

    get current(): Configuration {
        return this.configuration;
    }

    /** Every version that came into force from now on. */
    get versions(): Stream<Configuration> {
        return this.applied.stream;
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

    /** Resolves once a first version is in force, or after the start's time without one. */
    async start(): Promise<void> {
        const { exchange, logger, random } = this.options;
        this.removeAnnouncementListener = exchange.onAnnouncement(each => void this.readFromPeer(each));
        const sources = Promise.all([this.poll(), this.readFromPeers()]);
        await Promise.race([sources, delay(startTimeoutMilliseconds, this.stopping.signal)]);
        if (this.configuration.version === 0) {
            logger.warn("no configuration could be read yet; requests are refused until one arrives");
        }
        await delay(random.next() * pollMilliseconds, this.stopping.signal);
        if (!this.stopping.signal.aborted) {
            this.timer = setInterval(() => this.look(), pollMilliseconds);
        }
    }

    async stop(): Promise<void> {
        this.stopping.abort();
        clearInterval(this.timer);
        this.removeAnnouncementListener?.();
        this.watch.close();
        this.applied.close();
    }

    /**
     * Applies a version if it is higher than the one in force. Returns whether it was applied. Throws a
     * VersionCorruptError for damaged bytes; another copy may still be good.
     */
    offer(version: StoredVersion): boolean {
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
        this.olderHeads = 0;
        this.publish();
        return true;
    }

    private publish(): void {
        const { configuration } = this;
        const { version, pushId, author } = configuration;
        this.options.logger.info("configuration in force", { version, pushId, author });
        this.options.metrics.gauge("pomelostall.configuration.version", version);
        this.options.exchange.announce(version);
        this.applied.publish(configuration);
        for (const listener of [...this.listeners]) {
            this.notify(listener);
        }
    }

    private notify(listener: (configuration: Configuration) => void): void {
        try {
            listener(this.configuration);
        }
        catch (error) {
            this.options.logger.error("a part could not take the new version", { error: String(error) });
        }
    }

    private rejectUnreadable(record: VersionRecord, error: unknown): void {
        if (record.version !== this.unreadableVersion) {
            this.unreadableVersion = record.version;
            this.options.metrics.increment("pomelostall.configuration.unreadable");
            this.options.logger.error("a version can't be read; the one in force stays", {
                version: record.version,
                inForce: this.configuration.version,
                error: String(error),
            });
        }
    }

    /** One look at peers, and at the platform when it is this router's turn. */
    private look(): void {
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
        if (monotonicNow() >= this.nextBackstopPoll) {
            void this.poll();
            this.scheduleBackstopPoll();
        }
    }

    private scheduleBackstopPoll(): void {
        const spacing = (this.options.routerTotal() * millisecondsPerSecond) / backstopPollsPerSecond;
        const jittered = spacing * (0.5 + this.options.random.next());
        this.nextBackstopPoll = monotonicNow() + Math.max(pollMilliseconds, jittered);
    }

    private async poll(): Promise<void> {
        if (this.outstandingPolls >= maximumOutstandingPolls) {
            return;
        }
        this.outstandingPolls++;
        try {
            await this.receivePolled(await this.repository.readHead());
        }
        catch (error) {
            this.options.metrics.increment("pomelostall.configuration.poll_failed");
            this.options.logger.debug("the platform's head can't be read", { error: String(error) });
        }
        finally {
            this.outstandingPolls--;
        }
    }

    private async receivePolled(observed: ObservedHead): Promise<void> {
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
            await this.repairHead(observed, async () => renumber(await this.repository.readVersion(head)));
        }
        else {
            this.olderHeads = 0;
        }
    }

    /** A watch that missed a version which two polls showed has gone silent. */
    private reopenSilentWatch(version: number): void {
        if (this.watch.isOpen && version > this.watchedVersion && version === this.polledVersion) {
            this.watch.close();
            this.watch.open();
            this.watchedVersion = version;
        }
        this.polledVersion = version;
    }

    private receiveWatched(head: StoredHead, version: StoredVersion | undefined): void {
        this.watchedVersion = Math.max(this.watchedVersion, head.version);
        if (version !== undefined) {
            this.offerWatched(version);
        }
        else if (head.version > this.configuration.version) {
            this.readFromPlatform(head).catch(() => undefined);
        }
    }

    private offerWatched(version: StoredVersion): void {
        try {
            this.offer(version);
        }
        catch (error) {
            this.options.logger.error("a watched version is damaged", { error: String(error) });
        }
    }

    private async readFromPlatform(head: StoredHead): Promise<void> {
        await this.readOnce(`platform ${head.version}`, head.version, () => this.repository.readVersion(head));
    }

    /**
     * Writes a new head after several polls showed that the platform lost data: the version in force where the head is
     * older, and the head's own sheet under the next number where another push has this router's number. The
     * compare-and-swap fails if the platform only answered with older data, and then nothing is changed.
     */
    private async repairHead(observed: ObservedHead, choose: () => Promise<StoredVersion | undefined>): Promise<void> {
        this.olderHeads++;
        if (this.olderHeads < olderHeadsBeforeRestore) {
            return;
        }
        this.olderHeads = 0;
        const version = await choose();
        if (version === undefined) {
            return;
        }
        const repaired = await this.repository.accept(version, observed.revision);
        this.options.logger.warn("the platform lost versions", {
            found: observed.head?.version ?? 0,
            inForce: this.configuration.version,
            written: version.record.version,
            repaired,
        });
    }

    private async readFromPeers(): Promise<void> {
        const answers = await this.options.exchange.queryPeerVersions(peerTimeoutMilliseconds);
        const byVersion = [...answers].sort((left, right) => right.version - left.version);
        for (const answer of byVersion) {
            if (answer.version <= this.configuration.version) {
                return;
            }
            await this.readFromPeer(answer);
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
            this.options.logger.debug("a version can't be read from a peer", { routerId, error: String(error) });
        }
    }

    private async readOnce(
        name: string,
        version: number,
        read: () => Promise<StoredVersion | undefined>,
    ): Promise<void> {
        if (version <= this.configuration.version || version === this.unreadableVersion || this.reading.has(name)) {
            return;
        }
        this.reading.add(name);
        try {
            const stored = await read();
            if (stored !== undefined) {
                this.offer(stored);
            }
        }
        finally {
            this.reading.delete(name);
        }
    }
}

/** The same sheet as the version after it. */
function renumber(stored: StoredVersion): StoredVersion {
    const { record, compressedSheet } = stored;
    const version = record.version + 1;
    const renumbered = { ...record, version, parent: record.version, pushId: `${record.pushId}-${version}` };
    return { record: renumbered, compressedSheet };
}
