/** An in-memory store with leases and a history, which can come back from an older copy, and its clients, which can be cut off. */
import { delay, monotonicNow } from "../../src/common/clock.js";
import type {
    ChangeBatch,
    ConditionalWrite,
    ItemChange,
    ItemPage,
    MetadataStore,
} from "../../src/domain/gateway/metadata-store.js";
import type { StoreLease, StorePosition } from "../../src/domain/gateway/store-position.js";
import { HistoryLostError, LeaseLostError, PlatformUnavailableError } from "../../src/errors/index.js";
import type { StoreEra } from "../../src/process/gateway/store-era.js";

interface HeldItem {
    readonly value: Buffer;
    readonly revision: number;
    readonly lease: number;
}

interface Change {
    readonly key: string;
    readonly revision: number;
    readonly value: Buffer | undefined;
}

interface Contents {
    items: Map<string, HeldItem>;
    /** Monotonic times at which leases end, with their durations. */
    leases: Map<number, { readonly endsAt: number; readonly milliseconds: number; }>;
    revision: number;
    nextLease: number;
}

const pollMilliseconds = 20;

export class FakeHistoryStore {
    era = 1;
    isAway = false;
    /** Monotonic times of the calls of all clients. */
    readonly callTimes: number[] = [];
    private contents: Contents = { items: new Map(), leases: new Map(), revision: 1, nextLease: 1 };
    private history: Change[] = [];
    private copies: Contents[] = [];

    get revision(): number {
        return this.contents.revision;
    }

    read(key: string): string | undefined {
        return this.contents.items.get(key)?.value.toString();
    }

    put(key: string, value: string, lease = 0): void {
        this.contents.revision++;
        const { revision } = this.contents;
        this.contents.items.set(key, { value: Buffer.from(value), revision, lease });
        this.history.push({ key, revision, value: Buffer.from(value) });
    }

    delete(key: string): void {
        if (this.contents.items.delete(key)) {
            this.contents.revision++;
            this.history.push({ key, revision: this.contents.revision, value: undefined });
        }
    }

    takeCopy(): void {
        const { items, leases, revision, nextLease } = this.contents;
        this.copies.push({ items: new Map(items), leases: new Map(leases), revision, nextLease });
    }

    get hasCopy(): boolean {
        return this.copies.length > 0;
    }

    /** Comes back from the oldest of the last copies; leases of the copy last their duration from now on. */
    returnFromCopy(): void {
        const [copy] = this.copies.splice(0);
        const leases = new Map(
            [...copy!.leases].map((
                [id, { milliseconds }],
            ) => [id, { milliseconds, endsAt: monotonicNow() + milliseconds }]),
        );
        this.contents = { ...copy!, items: new Map(copy!.items), leases };
        this.history = this.history.filter(({ revision }) => revision <= copy!.revision);
        this.era++;
        this.isAway = false;
    }

    /** Keeps the last copies only. */
    forgetCopies(kept: number): void {
        this.copies = this.copies.slice(-kept);
    }

    endLeases(): void {
        for (const [id, { endsAt }] of this.contents.leases) {
            if (endsAt <= monotonicNow()) {
                this.endLease(id);
            }
        }
    }

    endLease(id: number): void {
        if (this.contents.leases.delete(id)) {
            [...this.contents.items].filter(([, { lease }]) => lease === id).forEach(([key]) => this.delete(key));
        }
    }

    grant(milliseconds: number): number {
        const id = this.contents.nextLease++;
        this.contents.leases.set(id, { milliseconds, endsAt: monotonicNow() + milliseconds });
        return id;
    }

    renew(id: number): boolean {
        const milliseconds = this.contents.leases.get(id)?.milliseconds;
        if (milliseconds !== undefined) {
            this.contents.leases.set(id, { milliseconds, endsAt: monotonicNow() + milliseconds });
        }
        return milliseconds !== undefined;
    }

    commit({ conditions, writes }: ConditionalWrite): boolean {
        const { items, leases } = this.contents;
        const holds = conditions.every(({ key, position }) => items.get(key)?.revision === position?.revision)
            && writes.every(({ lease }) => lease === undefined || leases.has(lease.id));
        if (holds) {
            writes.forEach(({ key, value, lease }) => this.put(key, value.toString(), lease?.id));
        }
        return holds;
    }

    page(prefix: string): ItemPage {
        const position = { era: this.era, revision: this.revision };
        const items = [...this.contents.items].filter(([key]) => key.startsWith(prefix))
            .map(([key, { value, revision }]) => ({ key, value, position: { era: this.era, revision } }));
        return { items, hasMore: false, position };
    }

    /** Undefined if the history does not reach from the revision on. */
    changesAfter(revision: number): ItemChange[] | undefined {
        return revision > this.revision ? undefined : this.history.filter(change => change.revision > revision)
            .map(change => ({ ...change, position: { era: this.era, revision: change.revision } }));
    }
}

/** One router's way to the store. */
export class FakeStoreClient implements MetadataStore {
    isCut = false;
    private closed = false;

    constructor(
        private readonly store: FakeHistoryStore,
        private readonly era: StoreEra,
        private readonly answerMilliseconds: () => number,
    ) {}

    readPage(prefix: string): Promise<ItemPage> {
        return this.call(() => this.store.page(prefix));
    }

    async readChanges(prefix: string, after: StorePosition, waitMilliseconds: number): Promise<ChangeBatch> {
        const until = monotonicNow() + waitMilliseconds;
        const eraAtStart = this.store.era;
        this.store.callTimes.push(monotonicNow());
        for (;;) {
            await delay(pollMilliseconds);
            this.check(this.store.era !== eraAtStart);
            const era = this.era.observe(this.store.era);
            const changes = this.store.changesAfter(after.revision)?.filter(({ key }) => key.startsWith(prefix));
            if (changes === undefined) {
                throw new HistoryLostError(after.revision);
            }
            if (changes.length > 0 || monotonicNow() >= until) {
                return { changes, position: { era, revision: this.store.revision } };
            }
        }
    }

    async commit(write: ConditionalWrite): Promise<boolean> {
        const expected = [
            ...write.conditions.flatMap(({ position }) => position ?? []),
            ...write.writes.flatMap(({ lease }) => lease ?? []),
        ];
        if (expected.some(({ era }) => era !== this.era.current)) {
            return false;
        }
        const committed = await this.call(() => this.store.commit(write));
        if (expected.some(({ era }) => era !== this.era.current)) {
            throw new PlatformUnavailableError("the store came back from a copy", true);
        }
        return committed;
    }

    async grantLease(milliseconds: number): Promise<StoreLease> {
        const id = await this.call(() => this.store.grant(milliseconds));
        return { id, era: this.era.current };
    }

    async renewLease({ id, era }: StoreLease): Promise<void> {
        if (era !== this.era.current || !await this.call(() => this.store.renew(id)) || era !== this.era.current) {
            throw new LeaseLostError(String(id));
        }
    }

    async revokeLease({ id, era }: StoreLease): Promise<void> {
        if (era === this.era.current) {
            await this.call(() => this.store.endLease(id));
        }
    }

    close(): void {
        this.closed = true;
    }

    /** The call takes effect halfway, and its answer may be lost after that. */
    private async call<Value>(run: () => Value): Promise<Value> {
        this.store.callTimes.push(monotonicNow());
        await delay(this.answerMilliseconds() / 2);
        this.check(false);
        const value = run();
        const era = this.store.era;
        await delay(this.answerMilliseconds() / 2);
        this.check(this.store.era !== era);
        this.era.observe(era);
        return value;
    }

    private check(isConnectionLost: boolean): void {
        if (this.closed || this.isCut || this.store.isAway || isConnectionLost) {
            throw new PlatformUnavailableError("no answer", true);
        }
    }
}
