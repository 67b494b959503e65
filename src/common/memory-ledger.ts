/**
 * Accounts for the memory that a process holds on behalf of others: bodies of callers, buffered answers, messages of the
 * store and of other routers. Each of them is bounded on its own; the ledger bounds all of them together. Answers the load
 * pattern of many clients or servers that each send a body up to its limit, or nearly, and then stop or never end.
 *
 * If a holder needs more than there is, the one that has taken the most memory for the longest time is ended, so that an
 * ordinary request, small and short, is served beside any number of large and slow ones. A part of the capacity is kept for
 * small holders, so that they need not wait until a large one is ended.
 */
import { MemoryShortageError } from "../errors/index.js";
import { monotonicNow } from "./clock.js";

export interface MemoryHolder {
    /** What is held, with few distinct values; a tag of metrics. */
    readonly kind: string;
    /** For the log: whose bytes these are, such as a caller's or a server's address. */
    readonly owner: string;
    /** Whether other holders are ended for this one, and never this one for them; for what keeps the process working. */
    readonly essential?: boolean;
    /** Ends the work that holds the memory, which is free from then on. Must not throw. */
    end(error: MemoryShortageError): void;
}

export interface MemoryAccount {
    /** Sets the bytes that are held. Throws MemoryShortageError, and closes the account, if there is no room for them. */
    resize(bytes: number): void;
    /** From now on the holder is not ended for others, because its work may have had effects. */
    keep(): void;
    close(): void;
}

export interface MemoryLedger {
    /** `heldBytes` are in memory already, so that they are accounted for even if there is no room. */
    open(holder: MemoryHolder, heldBytes?: number): MemoryAccount;
}

/** Baseline: accounts for nothing, so that only the limit of each holder applies. */
export class UnboundedMemoryLedger implements MemoryLedger {
    open(): MemoryAccount {
        return { resize: () => undefined, keep: () => undefined, close: () => undefined };
    }
}

export interface MemoryLedgerObserver {
    levelChanged(heldBytes: number): void;
    /** Called when large holders have released so much that the process may exceed its memory before it is collected. */
    releasedMuch(): void;
    /** Called for a holder that was ended, or refused if it is the one that needed more. */
    holderEnded(holder: MemoryHolder, bytes: number, heldMilliseconds: number): void;
}

/** Ordinary requests and answers are some kilobytes, prompts some tens of kilobytes. */
const largestSmallHolderBytes = 131_072;
/** Part of the capacity that only small and essential holders take. */
const smallHolderShare = 0.25;
/** Part of the capacity that large holders may release before the garbage is collected. */
const collectedShare = 0.75;
/** A request that was refused for lack of memory finds some once a slow holder has been ended. */
const retryAfterSeconds = 1;

class Account implements MemoryAccount {
    bytes = 0;
    kept = false;
    readonly openedAt = monotonicNow();

    constructor(readonly holder: MemoryHolder, private readonly ledger: BoundedMemoryLedger) {}

    resize(bytes: number): void {
        this.ledger.resize(this, bytes);
    }

    keep(): void {
        this.kept = true;
    }

    close(): void {
        this.ledger.close(this);
    }
}

export class BoundedMemoryLedger implements MemoryLedger {
    private readonly accounts = new Set<Account>();
    private held = 0;
    /** Of large holders, since the last report. */
    private releasedBytes = 0;

    constructor(private readonly capacityBytes: number, private readonly observer: MemoryLedgerObserver) {}

    get heldBytes(): number {
        return this.held;
    }

    open(holder: MemoryHolder, heldBytes = 0): MemoryAccount {
        const account = new Account(holder, this);
        account.bytes = heldBytes;
        this.accounts.add(account);
        this.setHeld(this.held + heldBytes);
        return account;
    }

    close(account: Account): void {
        if (this.accounts.delete(account)) {
            this.setHeld(this.held - account.bytes);
            this.recordRelease(account.bytes);
        }
    }

    resize(account: Account, bytes: number): void {
        if (!this.accounts.has(account)) {
            throw new MemoryShortageError(retryAfterSeconds);
        }
        const limit = this.limitFor(account, bytes);
        while (bytes > account.bytes && this.held - account.bytes + bytes > limit) {
            const heaviest = this.findHeaviest(account, bytes);
            this.endHolder(heaviest, heaviest === account ? bytes : heaviest.bytes);
            if (heaviest === account) {
                throw new MemoryShortageError(retryAfterSeconds);
            }
        }
        this.setHeld(this.held - account.bytes + bytes);
        account.bytes = bytes;
    }

    private limitFor({ holder }: Account, bytes: number): number {
        return holder.essential === true || bytes <= largestSmallHolderBytes
            ? this.capacityBytes
            : this.capacityBytes * (1 - smallHolderShare);
    }

    /** The holder with the most bytes times time; the growing one itself if no other can be ended. */
    private findHeaviest(growing: Account, bytes: number): Account {
        const now = monotonicNow();
        const weigh = (account: Account) =>
            (account === growing ? bytes : account.bytes) * (1 + now - account.openedAt);
        const candidates = [...this.accounts].filter(account =>
            account !== growing && !account.kept && account.holder.essential !== true && account.bytes > 0
        );
        if (growing.holder.essential !== true) {
            candidates.push(growing);
        }
        return candidates.reduce(
            (heaviest, account) => weigh(account) > weigh(heaviest) ? account : heaviest,
            candidates[0] ?? growing,
        );
    }

    private endHolder(account: Account, bytes: number): void {
        this.close(account);
        this.observer.holderEnded(account.holder, bytes, monotonicNow() - account.openedAt);
        account.holder.end(new MemoryShortageError(retryAfterSeconds));
    }

    private recordRelease(bytes: number): void {
        this.releasedBytes += bytes > largestSmallHolderBytes ? bytes : 0;
        if (this.releasedBytes >= this.capacityBytes * collectedShare) {
            this.releasedBytes = 0;
            this.observer.releasedMuch();
        }
    }

    private setHeld(bytes: number): void {
        this.held = bytes;
        this.observer.levelChanged(bytes);
    }
}

/** The accounts of one piece of work, which are closed together at its end. */
export class MemoryScope implements MemoryLedger {
    private readonly accounts = new Set<MemoryAccount>();

    constructor(private readonly ledger: MemoryLedger) {}

    open(holder: MemoryHolder, heldBytes?: number): MemoryAccount {
        const account = this.ledger.open(holder, heldBytes);
        this.accounts.add(account);
        return account;
    }

    /** More accounts may be opened afterwards. */
    close(): void {
        this.accounts.forEach(account => account.close());
        this.accounts.clear();
    }
}
