/**
 * The last known state of each router. A higher incarnation wins; within one incarnation the worse state wins, so that
 * only the router itself can refute a suspicion, by raising its incarnation.
 */
import { type RouterMember, RouterState } from "../../domain/fleet.js";
import { hashText } from "./hashing.js";

const stateRank = {
    [RouterState.alive]: 0,
    [RouterState.suspect]: 1,
    [RouterState.dead]: 2,
    [RouterState.left]: 3,
} as const;

/** Whether an update replaces the known entry of a member. */
export function supersedes(update: RouterMember, known: RouterMember | undefined): boolean {
    if (known === undefined || update.incarnation !== known.incarnation) {
        return known === undefined || update.incarnation > known.incarnation;
    }
    return stateRank[update.state] > stateRank[known.state];
}

/** Whether a member is alive or suspect and can thus be expected to answer. */
export function isPresent(member: RouterMember): boolean {
    return member.state === RouterState.alive || member.state === RouterState.suspect;
}

export class MemberTable {
    private readonly members = new Map<string, RouterMember>();
    private cachedPresentMembers: readonly RouterMember[] | undefined;
    private currentDigest = 0;

    get(id: string): RouterMember | undefined {
        return this.members.get(id);
    }

    all(): readonly RouterMember[] {
        return [...this.members.values()];
    }

    /** Members that are alive or suspect. */
    presentMembers(): readonly RouterMember[] {
        this.cachedPresentMembers ??= this.all().filter(isPresent);
        return this.cachedPresentMembers;
    }

    /** Digest of the IDs and incarnations of all present members; equal for equal views. */
    get digest(): number {
        return this.currentDigest >>> 0;
    }

    /** Applies an update. Returns whether it superseded the known entry; an update that does not has no effect. */
    apply(update: RouterMember): boolean {
        const known = this.members.get(update.id);
        if (!supersedes(update, known)) {
            return false;
        }
        const configurationVersion = Math.max(update.configurationVersion, known?.configurationVersion ?? 0);
        this.set({ ...update, configurationVersion }, known);
        return true;
    }

    /** Records a member's active configuration version. Returns whether it is higher than the recorded one. */
    raiseVersion(id: string, version: number): boolean {
        const known = this.members.get(id);
        if (known === undefined || version <= known.configurationVersion) {
            return false;
        }
        this.members.set(id, { ...known, configurationVersion: version });
        this.cachedPresentMembers = undefined;
        return true;
    }

    remove(id: string): void {
        const known = this.members.get(id);
        if (known !== undefined) {
            this.currentDigest ^= digestOf(known);
            this.members.delete(id);
            this.cachedPresentMembers = undefined;
        }
    }

    private set(member: RouterMember, known: RouterMember | undefined): void {
        this.currentDigest ^= known === undefined ? 0 : digestOf(known);
        this.currentDigest ^= digestOf(member);
        this.members.set(member.id, member);
        this.cachedPresentMembers = undefined;
    }
}

/** A suspect counts as alive, so that short suspicions don't change the digest. Dead and departed members give 0. */
function digestOf(member: RouterMember): number {
    return isPresent(member) ? hashText(`${member.id}/${member.incarnation}`) : 0;
}
