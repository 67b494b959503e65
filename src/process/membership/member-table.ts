/**
 * What is known of each router. Pure: news in, changes out. A higher incarnation wins; within one incarnation the worse
 * state wins, so that only the router itself can undo a suspicion, by a higher incarnation.
 */
import { type RouterMember, RouterState } from "../../domain/fleet.js";
import { hashText } from "./hashing.js";

const stateRank = {
    [RouterState.alive]: 0,
    [RouterState.suspect]: 1,
    [RouterState.dead]: 2,
    [RouterState.left]: 3,
} as const;

/** Whether the news replaces what is known. */
export function supersedes(news: RouterMember, known: RouterMember | undefined): boolean {
    if (known === undefined || news.incarnation !== known.incarnation) {
        return known === undefined || news.incarnation > known.incarnation;
    }
    return stateRank[news.state] > stateRank[known.state];
}

/** Whether a member can be expected to answer. */
export function isPresent(member: RouterMember): boolean {
    return member.state === RouterState.alive || member.state === RouterState.suspect;
}

export class MemberTable {
    private readonly members = new Map<string, RouterMember>();
    private present: readonly RouterMember[] | undefined;
    private currentDigest = 0;

    get(id: string): RouterMember | undefined {
        return this.members.get(id);
    }

    all(): readonly RouterMember[] {
        return [...this.members.values()];
    }

    /** Members that are alive or suspect. */
    presentMembers(): readonly RouterMember[] {
        this.present ??= this.all().filter(isPresent);
        return this.present;
    }

    /** A digest of the IDs, incarnations and presence of present members; equal for equal views. */
    get digest(): number {
        return this.currentDigest >>> 0;
    }

    /** Takes news in. Returns whether it changed anything but the configuration version. */
    apply(news: RouterMember): boolean {
        const known = this.members.get(news.id);
        if (!supersedes(news, known)) {
            return false;
        }
        const configurationVersion = Math.max(news.configurationVersion, known?.configurationVersion ?? 0);
        this.set({ ...news, configurationVersion }, known);
        return true;
    }

    /** Takes in which version a member has in force. Returns whether it rose. */
    raiseVersion(id: string, version: number): boolean {
        const known = this.members.get(id);
        if (known === undefined || version <= known.configurationVersion) {
            return false;
        }
        this.members.set(id, { ...known, configurationVersion: version });
        this.present = undefined;
        return true;
    }

    remove(id: string): void {
        const known = this.members.get(id);
        if (known !== undefined) {
            this.currentDigest ^= digestOf(known);
            this.members.delete(id);
            this.present = undefined;
        }
    }

    private set(member: RouterMember, known: RouterMember | undefined): void {
        this.currentDigest ^= known === undefined ? 0 : digestOf(known);
        this.currentDigest ^= digestOf(member);
        this.members.set(member.id, member);
        this.present = undefined;
    }
}

/** A suspect counts as alive here, since suspicions come and go; members that are gone count for nothing. */
function digestOf(member: RouterMember): number {
    return isPresent(member) ? hashText(`${member.id}/${member.incarnation}`) : 0;
}
