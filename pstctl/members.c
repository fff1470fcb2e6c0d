#include "pstctl/members.h"

#include "agent/vmreader.h"
#include "agent/tablemsg.h"
#include "common/err.h"
#include "common/net.h"
#include "common/rpcc.h"

static int request_list(struct cmd *cmd, struct rpcc *rpcc, struct vmlist **out)
{
	table_ask args = {
		.from = (char *)cmd->set->vm.id.ptr,
		/* Asks for the list only, without parts of the table. */
		.after = UINT64_MAX,
	};
	table_answer answer = {0};
	int err = rpcc_call(rpcc, TABLE_VIEW, (xdrproc_t)xdr_table_ask, &args,
			    (xdrproc_t)xdr_table_answer, &answer,
			    CLK_MS(cmd->set->net.rpc_timeout_ms));

	if (err)
		return PST_ERR_UNAVAILABLE;
	err = answer.list ? tablemsg_list_decode(out, answer.list)
			  : PST_ERR_UNAVAILABLE;
	xdr_free((xdrproc_t)xdr_table_answer, &answer);
	return err;
}

static int ask_own_controld(struct cmd *cmd, struct vmlist **out)
{
	const struct settings *set = cmd->set;
	struct rpcc *rpcc = NULL;
	struct net_addr peer;
	int err = net_addr_make(&peer, set->vm.address,
				(uint16_t)set->control.rpc_port);

	if (!err)
		err = rpcc_create(&rpcc, set, cmd->clk, set->vm.region, &peer,
				  TABLE_PROGRAM, TABLE_VERSION);
	if (!err)
		err = request_list(cmd, rpcc, out);
	rpcc_destroy(rpcc);
	return err;
}

int members_read(struct cmd *cmd, struct vmlist **out)
{
	struct vmreader *vmreader = NULL;
	long status;
	int err = vmreader_create(&vmreader, cmd->set);

	if (!err)
		err = vmreader_fetch(vmreader, out, &status);
	vmreader_destroy(vmreader);
	return err && ask_own_controld(cmd, out) ? err : 0;
}
